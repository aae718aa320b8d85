import { install } from '@sinonjs/fake-timers';

const STEP_MS = 2;
const TURNS_PER_STEP = 24;

/** Runs work on a paused clock that advances in small steps, promises settling in between. */
export const runPaused = async (
  durationMs: number,
  begin: () => void | Promise<void>,
): Promise<void> => {
  const clock = install({ now: 1_000_000 });
  try {
    await begin();
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      clock.tick(STEP_MS);
      for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) await Promise.resolve();
    }
  } finally {
    clock.uninstall();
  }
};
