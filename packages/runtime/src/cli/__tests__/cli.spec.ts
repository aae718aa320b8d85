import { PassThrough } from 'node:stream';
import { expect, test } from 'vitest';
import { z } from 'zod';
import { createRefusal } from '@goldcrestscale/core';
import { CliError, exitCodes, runCommand } from '../index.js';
import type { CliHost, CliOptions } from '../index.js';

const schema = z.strictObject({
  port: z.number().default(80),
  apiKey: z.string().default('hunter-22'),
});

type Run = CliOptions<typeof schema, { all: { type: 'boolean' } }>['run'];

let sendSignal: (name?: string) => void = () => {};

const runWith = async (
  argv: readonly string[],
  run: Run = async () => {},
  extra: { readonly isDaemon?: boolean } = {},
) => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exits: number[] = [];
  const handlers: ((name: string) => void)[] = [];
  const host: CliHost = {
    argv,
    stdout,
    stderr,
    onSignals: (_names, handler) => handlers.push(handler),
    exit: (code) => exits.push(code),
  };
  const options = {
    name: 'goldcrest-test',
    version: '1.2.3',
    description: 'Test.',
    flags: { all: { type: 'boolean' } },
    schema,
    run,
    ...extra,
  } as const;
  sendSignal = (name = 'SIGTERM') => handlers.forEach((handler) => handler(name));
  const code = await runCommand(options, host);
  return { code, exits, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') };
};

test('prints help and version', async () => {
  expect(await runWith(['--help'])).toMatchObject({
    code: 0,
    out: expect.stringContaining('--print-config') as string,
  });
  expect(await runWith(['--version'])).toMatchObject({ code: 0, out: 'goldcrest-test 1.2.3\n' });
});

test('--print-config masks secrets', async () => {
  const { code, out } = await runWith(['--print-config']);
  expect([code, JSON.parse(out)]).toEqual([0, { port: 80, apiKey: '********' }]);
});

test('--check validates the settings', async () => {
  expect((await runWith(['--check'])).code).toBe(exitCodes.ok);
  const missing = await runWith(['--check', '--settings', 'missing.json']);
  expect(missing).toMatchObject({ code: exitCodes.usage, out: '' });
  expect(missing.err).toContain('missing.json');
});

test.each([
  [undefined, exitCodes.ok],
  [new Error('x'), exitCodes.failure],
  [new CliError('x', exitCodes.refused), exitCodes.refused],
  [createRefusal('x', { code: 'log_unavailable', status: 503 }), exitCodes.unavailable],
  [createRefusal('x', { code: 'key_reused', status: 422 }), exitCodes.refused],
] as const)('maps %s to its exit code', async (error, code) => {
  const result = await runWith(
    ['--all', 'word'],
    async (_signal, settings, _logger, invocation) => {
      expect(settings.port).toBe(80);
      expect([invocation.flags.all, invocation.input]).toEqual([true, ['word']]);
      if (error) throw error as Error;
    },
  );
  expect(result.code).toBe(code);
});

// A tool holds no requests of others, and may wait for an answer that never comes.
test('the first stop signal aborts a tool, the second exits', async () => {
  const result = await runWith([], async (signal) => {
    sendSignal();
    expect(signal.aborted).toBe(true);
    sendSignal();
    return exitCodes.unavailable;
  });
  expect(result).toMatchObject({ code: exitCodes.unavailable, exits: [exitCodes.failure] });
});

// A supervisor that repeated its signal cut the requests of all callers.
test('only the first stop signal changes anything in a daemon', async () => {
  const run: Run = async (signal) => {
    sendSignal('SIGHUP');
    expect(signal.aborted).toBe(false);
    sendSignal();
    expect(signal.aborted).toBe(true);
    sendSignal();
    sendSignal('SIGINT');
    sendSignal('SIGHUP');
  };
  const result = await runWith([], run, { isDaemon: true });
  expect(result).toMatchObject({ code: exitCodes.ok, exits: [] });
  expect(result.err.match(/the process is stopping already/g)).toHaveLength(2);
});
