/** Least time that is left for a request when it is read, however long it may have lain unread. */
const MIN_PRESENT_CALLER_MS = 500;

/** When a request came, in monotonic time. */
export interface RequestArrival {
  /** Earliest time at which it may have arrived. */
  readonly receivedAtMs: number;
  /** Time at which its head was read. */
  readonly readAtMs: number;
}

/** Computes the monotonic time at which the time limit of a caller's request ends. */
export const computeCallerDeadlineMs = (
  { receivedAtMs, readAtMs }: RequestArrival,
  allowedMs: number,
): number => {
  // Nobody knows how long a request lay unread; its caller is still there when it is sent.
  const earliestMs = readAtMs + Math.min(allowedMs, MIN_PRESENT_CALLER_MS);
  return Math.max(receivedAtMs + allowedMs, earliestMs);
};
