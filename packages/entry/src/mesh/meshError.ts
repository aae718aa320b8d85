/** Reason for which a message between two VMs failed. */
export type MeshFailure =
  /** No connection to the peer; nothing was sent. */
  | 'unreachable'
  /** A limit on buffered bytes or concurrent requests was reached; the peer has not handled it. */
  | 'overloaded'
  /** The message exceeds the size limit; nothing was sent. */
  | 'too_large'
  /** The peer has no handler for this message type. */
  | 'unknown_type'
  /** The payload or the reply does not match the schema of the message type. */
  | 'malformed'
  /** No reply within the timeout; the peer may have handled the request. */
  | 'timeout'
  /** The connection was lost before the reply; the peer may have handled the request. */
  | 'connection_lost'
  /** The caller aborted the request; the peer may have handled it. */
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

/** Parses a failure reported by a peer; an unknown value maps to `handler_failed`. */
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
