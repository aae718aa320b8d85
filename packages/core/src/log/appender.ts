import type { LogOffset } from '../ids.js';

/** Options for one record. */
export interface AppendOptions {
  /** Whether the record may be delayed to a later batch because no one awaits it. @default false */
  readonly deferrable?: boolean;
}

/** Appends single records to one stream. */
export abstract class Appender {
  /**
   * Appends a record.
   *
   * @throws LogError `refused` if it was not appended, `unknown` if it may have been
   */
  abstract append(value: unknown, options?: AppendOptions): Promise<LogOffset>;
}
