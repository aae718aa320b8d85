/** Why a body of an upstream was not kept. */
export type BodyRefusal = 'too large' | 'too slow' | 'no memory';

/** Thrown if a body of an upstream is not kept. */
export class ResponseBodyError extends Error {
  override readonly name = 'ResponseBodyError';

  /** @param neededBytes memory for all of the body that has to be kept at once, if there is none */
  constructor(
    readonly reason: BodyRefusal,
    readonly neededBytes = 0,
  ) {
    super(`body of a response refused: ${reason}`);
  }
}
