import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { onTestFinished } from 'vitest';
import type { EntryProcessMessage } from './entryProcess.js';
import type { FakeUpstream } from './fakeUpstream.js';

const SCRIPT = fileURLToPath(new URL('entryProcess.ts', import.meta.url));

/** Resolves the packages to their sources, as Vitest does. */
const TSCONFIG = fileURLToPath(new URL('entryProcess.tsconfig.json', import.meta.url));

const STATE_POLL_MS = 1;

/** What keeps the process from reading: it is stopped, or its event loop is busy. */
export type PauseKind = 'stopped' | 'busy';

/** Starts an entry in a process of its own; ends it when the test ends. */
export const startPausableEntry = async (upstreams: readonly FakeUpstream[]) => {
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', SCRIPT, ...upstreams.map(({ address }) => address)],
    {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
      env: { ...process.env, TSX_TSCONFIG_PATH: TSCONFIG },
    },
  );
  onTestFinished(() => {
    child.kill('SIGKILL');
  });

  const receive = async <Kind extends EntryProcessMessage['kind']>(
    kind: Kind,
  ): Promise<Extract<EntryProcessMessage, { kind: Kind }>> => {
    const [message] = (await once(child, 'message')) as [EntryProcessMessage];
    if (message.kind !== kind) throw new Error(`expected ${kind}, received ${message.kind}`);
    return message as Extract<EntryProcessMessage, { kind: Kind }>;
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

  const { baseUrl } = await receive('listening');
  return {
    baseUrl,
    /**
     * Keeps the process from reading for a time.
     *
     * @returns a function that waits for the end of the pause
     */
    pause: (kind: PauseKind, durationMs: number) =>
      kind === 'stopped' ? stop(durationMs) : block(durationMs),
  };
};
