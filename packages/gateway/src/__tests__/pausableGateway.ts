import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { onTestFinished } from 'vitest';
import { FakeUpstream } from './fakeUpstream.js';
import type { GatewayProcessMessage } from './gatewayProcess.js';
import type { HarnessOptions } from './gatewayHarness.js';

const SCRIPT = fileURLToPath(new URL('gatewayProcess.ts', import.meta.url));

/** Resolves the packages to their sources, as Vitest does. */
const TSCONFIG = fileURLToPath(new URL('gatewayProcess.tsconfig.json', import.meta.url));

const STATE_POLL_MS = 1;

/** What keeps the process from reading: it is stopped, or its event loop is busy. */
export type PauseKind = 'stopped' | 'busy';

/** Starts a gateway in a process of its own; ends it when the test ends. */
export const startPausableGateway = async ({ upstreams: handlers, ...options }: HarnessOptions) => {
  const upstreams = handlers.map((handleRequest) => new FakeUpstream(handleRequest));
  const addresses = await Promise.all(upstreams.map((upstream) => upstream.listen()));
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', SCRIPT, JSON.stringify({ ...options, addresses })],
    {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      env: { ...process.env, TSX_TSCONFIG_PATH: TSCONFIG },
    },
  );
  onTestFinished(() => {
    child.kill('SIGKILL');
    upstreams.forEach((upstream) => upstream.close());
  });

  const receive = async <Kind extends GatewayProcessMessage['kind']>(
    kind: Kind,
  ): Promise<Extract<GatewayProcessMessage, { kind: Kind }>> => {
    const [message] = (await once(child, 'message')) as [GatewayProcessMessage];
    if (message.kind !== kind) throw new Error(`expected ${kind}, received ${message.kind}`);
    return message as Extract<GatewayProcessMessage, { kind: Kind }>;
  };

  const isStopped = (): boolean =>
    readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]!.startsWith('T');

  const stop = async (durationMs: number): Promise<() => Promise<void>> => {
    const endAtMs = performance.now() + durationMs;
    child.kill('SIGSTOP');
    while (!isStopped()) await sleep(STATE_POLL_MS);
    return async () => {
      await sleep(endAtMs - performance.now());
      child.kill('SIGCONT');
    };
  };

  const block = async (durationMs: number): Promise<() => Promise<void>> => {
    const endAtMs = performance.now() + durationMs;
    child.send({ blockMs: durationMs });
    await receive('blocking');
    return () => sleep(endAtMs - performance.now());
  };

  const { port } = await receive('listening');
  return {
    port,
    upstreams,
    /**
     * Keeps the process from reading for a time.
     *
     * @returns a function that waits for the end of the pause
     */
    pause: (kind: PauseKind, durationMs: number) =>
      kind === 'stopped' ? stop(durationMs) : block(durationMs),
  };
};
