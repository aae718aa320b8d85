/** Lets work begin only after the process has read the input that had arrived. */
export abstract class InputBarrier {
  /**
   * Calls `work` after everything that had arrived at the process's sockets has been read. No other
   * event is handled between the last read and the call.
   *
   * @returns what `work` returns; an error of it rejects
   */
  abstract run<Result>(work: () => Result): Promise<Result>;
}
