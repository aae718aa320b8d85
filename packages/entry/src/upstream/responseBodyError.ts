/** Why a body of an upstream was not kept. */
export type BodyRefusal = 'too large' | 'too slow' | 'no memory';

/** Thrown if a body of an upstream is not kept. */
export class ResponseBodyError extends Error {
  override readonly name = 'ResponseBodyError';

  constructor(readonly reason: BodyRefusal) {
    super(`body of a response refused: ${reason}`);
  }
}
