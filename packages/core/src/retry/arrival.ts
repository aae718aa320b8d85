/** Whether a request may have arrived at its upstream, by how the send of it ended. */
const MAY_HAVE_ARRIVED = {
  /** No connection to the upstream could be opened, or none may be. */
  unreachable: false,
  /** A check right before the write failed, or the connection was closed before it. */
  withheld: false,
  /** Nobody waited for it any more before it was written. */
  dropped: false,
  /** The upstream answered that it did not run the request. */
  rejected: true,
  /** The upstream answered, with whatever status. */
  answered: true,
  /** The answer did not come or is not whole: reset, deadline, truncated. */
  lost: true,
} as const satisfies Readonly<Record<string, boolean>>;

/** How the send of a request to an upstream ended. */
export type SendEnd = keyof typeof MAY_HAVE_ARRIVED;

/** Whether a request may have arrived; what may have arrived makes the next send a repeat. */
export const canHaveArrived = (end: SendEnd): boolean => MAY_HAVE_ARRIVED[end];
