import { install } from '@sinonjs/fake-timers';

const STEP_MS = 2;
const TURNS_PER_STEP = 24;

/** Runs a simulation on a fake clock, which advances in small steps and lets promises settle between. */
export const runWithFakeClock = async (
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
