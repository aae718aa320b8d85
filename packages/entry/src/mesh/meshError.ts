/** Why a message between two VMs failed. */
export type MeshFailure =
  /** No connection to the peer; nothing was sent. */
  | 'unreachable'
  /** Too many bytes or requests are waiting on a side; the peer has not handled the request. */
  | 'overloaded'
  /** The message is larger than allowed; nothing was sent. */
  | 'too_large'
  /** The peer has no handler for this message type. */
  | 'unknown_type'
  /** The payload or the reply does not match the message type. */
  | 'malformed'
  /** No reply in time; the peer may have handled the request. */
  | 'timeout'
  /** The connection was lost before the reply; the peer may have handled the request. */
  | 'connection_lost'
  /** The asking side aborted the request; the peer may have handled it. */
  | 'aborted'
  /** The peer's handler failed. */
  | 'handler_failed';

const failures: readonly MeshFailure[] = [
  'unreachable',
  'overloaded',
  'too_large',
  'unknown_type',
  'malformed',
  'timeout',
  'connection_lost',
  'aborted',
  'handler_failed',
];

/** Converts a failure that a peer named; an unknown one counts as a failure of its handler. */
export const toMeshFailure = (value: string): MeshFailure =>
  failures.find((failure) => failure === value) ?? 'handler_failed';

const notHandledFailures: ReadonlySet<MeshFailure> = new Set([
  'unreachable',
  'overloaded',
  'too_large',
  'unknown_type',
]);

/** Failure of a message between two VMs. */
export class MeshError extends Error {
  override readonly name = 'MeshError';

  constructor(
    message: string,
    readonly failure: MeshFailure,
  ) {
    super(message);
  }

  /** Whether the peer's handler may have acted on the message. */
  get mayHaveBeenHandled(): boolean {
    return !notHandledFailures.has(this.failure);
  }
}
