import type { Finding, LifeRecord, SoakHistory } from '../history.js';

/** Time after its SIGTERM in which a VM may still count as ready. */
const LEAVE_MS = 4_000;

/** VMs that may be late at any time. */
const ALLOWED_VMS = 1;

const ALLOWED_SHARE = 0.25;

/** Longest time between two answers with 200 of a VM that counts as ready all the while. */
const READY_GAP_MS = 600;

const findStop = ({ signals }: LifeRecord) =>
  signals.find(({ signal }) => signal === 'SIGTERM' || signal === 'SIGINT');

const isFrozen = ({ signals }: LifeRecord): boolean =>
  signals.some(({ signal }) => signal === 'SIGSTOP');

const isReadyAt = ({ readyAtMs }: LifeRecord, momentMs: number): boolean =>
  readyAtMs.some((atMs) => atMs <= momentMs && atMs >= momentMs - READY_GAP_MS);

/** DRAIN: several VMs that were stopped still count as ready long after. */
export const checkDrain = ({ lives }: SoakHistory): Finding[] => {
  const stopped = lives.flatMap((life) => {
    const stop = findStop(life);
    return stop && !isFrozen(life) && isReadyAt(life, stop.atMs) ? [{ life, stop }] : [];
  });
  const late = stopped.filter(({ life, stop }) =>
    life.readyAtMs.some((atMs) => atMs > stop.atMs + LEAVE_MS),
  );
  if (late.length <= ALLOWED_VMS || late.length <= stopped.length * ALLOWED_SHARE) return [];
  return late.map(({ life, stop }) => ({
    rule: 'DRAIN',
    isTimed: true,
    vmId: life.vmId,
    atMs: stop.atMs,
    text: `pid ${life.pid} was ready over ${LEAVE_MS} ms after its ${stop.signal}, one of ${late.length}`,
  }));
};
