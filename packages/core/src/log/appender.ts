import type { LogOffset } from '../ids.js';

/** Options of one record. */
export interface AppendOptions {
  /** Whether nobody waits for the record, so that it may go with a later group. @default false */
  readonly lazy?: boolean;
}

/** Appends single records to one stream. */
export abstract class Appender {
  /**
   * Appends a record.
   *
   * @throws LogError `refused` when it was not appended, `unknown` when it may have been
   */
  abstract append(value: unknown, options?: AppendOptions): Promise<LogOffset>;
}
