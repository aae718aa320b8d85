import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { afterAll, expect, test } from 'vitest';
import { LogError, MemoryLog } from '@goldcrestscale/core';
import type {
  BaseOffset,
  EditOutcome,
  LogStream,
  RowChange,
  TableState,
} from '@goldcrestscale/core';
import { runCommand } from '@goldcrestscale/runtime';
import type { CliHost } from '@goldcrestscale/runtime';
import { createCtlProgram, createLogTableClient, TableClient } from '../index.js';

const directory = await mkdtemp(join(tmpdir(), 'ctl-'));
afterAll(() => rm(directory, { recursive: true }));

const createTestHost = (argv: readonly string[]) => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const handlers: ((name: string) => void)[] = [];
  const host: CliHost = {
    argv,
    stdout,
    stderr,
    onSignals: (_names, handler) => handlers.push(handler),
    exit: () => {},
  };
  const readText = (stream: PassThrough): string => String(stream.read() ?? '');
  return {
    host,
    stop: () => handlers.forEach((handler) => handler('SIGTERM')),
    readOut: () => readText(stdout),
    readErr: () => readText(stderr),
  };
};

type OpenClient = (stream: LogStream) => TableClient;

const openClient: OpenClient = (stream) => createLogTableClient(stream, 500);

const createCtl = (stream: LogStream, open = openClient) => {
  const run = async (...argv: string[]) => {
    const testHost = createTestHost(argv);
    const code = await runCommand(
      createCtlProgram(() => open(stream)),
      testHost.host,
    );
    return { code, out: testHost.readOut(), err: testHost.readErr() };
  };
  const readRows = async () =>
    JSON.parse((await run('get', '--json')).out) as Record<string, unknown>[];
  return { run, readRows };
};

const saveFile = async (name: string, value: unknown): Promise<string> => {
  const file = join(directory, name);
  await writeFile(file, JSON.stringify(value));
  return file;
};

const tableFile = {
  rows: [
    { kind: 'workload', id: 'summaries', accountId: 'houtmeet', model: 'spruce', priority: 0 },
    { kind: 'account', id: 'houtmeet', weight: 3 },
    { kind: 'model', id: 'spruce', version: '1' },
    { kind: 'zone', id: 'z1' },
    { kind: 'zone', id: 'z2' },
  ],
};

test('set and get', async () => {
  const { run, readRows } = createCtl(new MemoryLog());
  expect(await run('set', 'model/spruce', 'version=1')).toMatchObject({
    code: 0,
    out: expect.stringMatching(/^model\/spruce: accepted as edit \S+ at offset 0\n$/) as string,
  });
  expect((await run('set', 'model/spruce', 'version=1')).out).toBe('model/spruce: unchanged\n');
  expect(await readRows()).toMatchObject([{ id: 'spruce', version: '1', offset: 0 }]);
  expect((await run('get', 'model')).out).toMatch(/spruce\s+1\s+0/);
});

test('apply creates rows in dependency order; diff and dry run', async () => {
  const { run, readRows } = createCtl(new MemoryLog());
  const file = await saveFile('site.json', tableFile);
  const dryRun = await run('apply', file, '--dry-run');
  expect(dryRun.out).toContain('create workload/summaries');
  expect(await readRows()).toEqual([]);
  const applied = await run('apply', file);
  expect([applied.code, applied.err]).toEqual([0, '']);
  expect(await readRows()).toHaveLength(5);
  expect((await run('diff', file)).out).toBe('no difference\n');
  const deletionsFile = await saveFile('less.json', {
    delete: ['account/houtmeet', 'workload/summaries'],
  });
  expect((await run('apply', deletionsFile)).code).toBe(0);
  expect(await readRows()).toHaveLength(3);
});

test('applying a file without key digests keeps the account keys', async () => {
  const { run, readRows } = createCtl(new MemoryLog());
  await run('account', 'create', 'houtmeet');
  const [before] = await readRows();
  await run('apply', await saveFile('keys.json', [{ kind: 'account', id: 'houtmeet', weight: 9 }]));
  expect(await readRows()).toMatchObject([{ weight: 9, keyHashes: before?.keyHashes }]);
});

test('account key is printed once and stored as a digest', async () => {
  const log = new MemoryLog();
  const { run, readRows } = createCtl(log);
  const created = await run('account', 'create', 'kalahari', 'weight=2');
  const key = /gck_[\w-]{43}/.exec(created.out)?.[0] ?? '';
  const keyHash = createHash('sha256').update(key).digest('hex');
  expect(await readRows()).toMatchObject([{ keyHashes: [keyHash], weight: 2 }]);
  expect(JSON.stringify(await log.read(0 as never))).not.toContain(key);
  expect((await run('account', 'create', 'kalahari')).code).toBe(3);
  await run('account', 'rotate-key', 'kalahari');
  expect((await readRows())[0]?.keyHashes).toHaveLength(2);
  await run('account', 'rotate-key', 'kalahari', '--revoke-old');
  expect((await readRows())[0]?.keyHashes).not.toContain(keyHash);
});

test('zone and upstream states', async () => {
  const { run, readRows } = createCtl(new MemoryLog());
  await run('zone', 'in', 'z1');
  await run('zone', 'in', 'z2');
  await run('zone', 'out', 'z2');
  await run('upstream', 'leaving', 'engine-1');
  expect(await readRows()).toMatchObject([
    { id: 'z1', state: 'in' },
    { id: 'z2', state: 'out' },
    { id: 'engine-1', state: 'leaving' },
  ]);
  const misspelt = await run('zone', 'out', 'z3');
  expect(misspelt).toMatchObject({ code: 3, out: '' });
  expect(misspelt.err).toContain('zone/z3 is not in the table');
  expect(await readRows()).toHaveLength(3);
  const lastZoneOut = await run('zone', 'out', 'z1');
  expect(lastZoneOut).toMatchObject({ code: 3, out: '' });
  expect(lastZoneOut.err).toContain('no availability zone would be in');
});

test.each([
  [['frobnicate'], 2, 'commands: get'],
  [['gte'], 2, 'did you mean "get"?'],
  [['set', 'modle/x', 'version=1'], 2, 'did you mean "model"?'],
  [['set', 'zone/z1', 'stat=out'], 2, 'did you mean "state"?'],
  [['set', 'zone/z1', 'id=z2'], 2, "can't be set"],
  [['set', 'model/a/b', 'version=1'], 2, 'is not a row key'],
  [['set', 'account/none', 'weight=1'], 3, 'account create'],
  [['zone', 'off', 'z1'], 2, 'usage:'],
  [['delete', 'zone/none'], 3, 'does not exist'],
  [['apply', 'none.json'], 2, 'ENOENT'],
  [['state'], 2, 'operations'],
  [['entries'], 2, 'entries'],
] as const)('%s fails with a hint', async (argv, code, text) => {
  const result = await createCtl(new MemoryLog()).run(...argv);
  expect(result).toMatchObject({ code, out: '' });
  expect(result.err).toContain(text);
});

test('apply reports every problem of a file before any edit', async () => {
  const { run, readRows } = createCtl(new MemoryLog());
  const rows = [
    { kind: 'zone', id: 'z1' },
    { kind: 'zone', id: 'z2', state: 'off' },
    { kind: 'model', id: 'm', vresion: '1' },
  ];
  const result = await run('apply', await saveFile('bad.json', rows));
  expect(result).toMatchObject({ code: 2, out: '' });
  expect(result.err).toMatch(/zone\/z2 state/);
  expect(result.err).toMatch(/did you mean "version"/);
  expect(await readRows()).toEqual([]);
});

/** Lets a concurrent edit change the same row between an operator's read and its edit. */
class RacingClient extends TableClient {
  private readonly inner: TableClient;

  constructor(private readonly stream: LogStream) {
    super();
    this.inner = openClient(stream);
  }

  override readState(signal: AbortSignal): Promise<TableState> {
    return this.inner.readState(signal);
  }

  override async applyChange(change: RowChange, base: BaseOffset, signal: AbortSignal) {
    const concurrentEdit = { ...change, row: { kind: 'model', id: 'spruce', version: 'rival' } };
    await openClient(this.stream).applyChange(concurrentEdit as RowChange, base, signal);
    return this.editRow(change, base, signal);
  }

  override watchStates(signal: AbortSignal): AsyncIterable<TableState> {
    return this.inner.watchStates(signal);
  }

  protected editRow(
    change: RowChange,
    base: BaseOffset,
    signal: AbortSignal,
  ): Promise<EditOutcome> {
    return this.inner.applyChange(change, base, signal);
  }
}

/**
 * Faulty client: bases the edit on the newest version in place of the one that the operator read.
 */
class LastWriterClient extends RacingClient {
  protected override async editRow(change: RowChange, _base: BaseOffset, signal: AbortSignal) {
    const state = await this.readState(signal);
    const last = state.rows.get('model/spruce');
    return super.editRow(change, last?.offset ?? null, signal);
  }
}

const raceOperators = async (open: OpenClient) => {
  const log = new MemoryLog();
  const ctl = createCtl(log);
  await ctl.run('set', 'model/spruce', 'version=1');
  const result = await createCtl(log, open).run('set', 'model/spruce', 'version=2');
  return { ...result, version: (await ctl.readRows())[0]?.version };
};

test('an edit that conflicts with an earlier one is rejected and names it', async () => {
  const rejected = await raceOperators((stream) => new RacingClient(stream));
  expect(rejected).toMatchObject({ code: 3, out: '', version: 'rival' });
  expect(rejected.err).toMatch(/edit \S{36} at offset 1 came first/);
  const lastWriter = await raceOperators((stream) => new LastWriterClient(stream));
  expect(lastWriter).toMatchObject({ code: 0, version: '2' });
});

/** Log that is unavailable, or whose appends take effect while the responses are lost. */
class FaultyLog extends MemoryLog {
  fault: 'none' | 'down' | 'lost' = 'none';

  override async append(values: readonly unknown[]) {
    if (this.fault === 'down') throw new LogError('refused', 'refused');
    const offset = await super.append(values);
    if (this.fault === 'lost') throw new LogError('lost', 'unknown');
    return offset;
  }

  override read(...args: Parameters<MemoryLog['read']>) {
    if (this.fault === 'down') return Promise.reject(new LogError('down', 'unknown'));
    return super.read(...args);
  }
}

test('log unavailable, and append response lost', async () => {
  const log = new FaultyLog();
  const { run, readRows } = createCtl(log);
  log.fault = 'down';
  expect(await run('set', 'model/m', 'version=1')).toMatchObject({ code: 4, out: '' });
  log.fault = 'lost';
  expect((await run('set', 'model/m', 'version=1')).out).toContain('accepted');
  log.fault = 'none';
  expect(await readRows()).toMatchObject([{ offset: 0 }]);
});

test('watch prints edits until it is stopped', async () => {
  const log = new MemoryLog();
  const watcher = createTestHost(['watch']);
  const exitCode = runCommand(
    createCtlProgram(() => openClient(log)),
    watcher.host,
  );
  const { run } = createCtl(log);
  let output = '';
  for (let round = 0; !output.includes('deleted') && round < 100; round += 1) {
    if (round === 10) await run('set', 'model/m', 'version=1');
    if (round === 20) await run('delete', 'model/m');
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
    output += watcher.readOut();
  }
  watcher.stop();
  expect(await exitCode).toBe(0);
  expect(output).toMatch(/^at offset 0\n0 model\/m version=1 .*\n1 model\/m deleted/);
});

test('state and entries of an entry VM', async () => {
  const server = createServer((request, response) => {
    const isAllowed = request.headers.authorization === 'Bearer hunter-22';
    if (request.url === '/state') response.writeHead(isAllowed ? 200 : 401);
    const entries = [{ address: '127.0.0.1:1', availabilityZone: 'z1' }];
    response.end(JSON.stringify(request.url === '/state' ? { table: 1 } : { entries, ttlMs: 1 }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const { run } = createCtl(new MemoryLog());
  const runWithKey = async (key: string, command: string) => {
    const file = join(directory, 'key');
    await writeFile(file, key);
    const operations = { address, key: { file } };
    const settings = await saveFile('ctl.json', { operations, entries: ['127.0.0.1:1', address] });
    return run(command, '--settings', settings, '--json');
  };
  expect(JSON.parse((await runWithKey('hunter-22', 'state')).out)).toEqual({ table: 1 });
  expect(await runWithKey('wrong-key', 'state')).toMatchObject({ code: 3, out: '' });
  expect((await runWithKey('x', 'entries')).out).toContain('127.0.0.1:1');
  server.close();
});
