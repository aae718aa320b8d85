import { Appender } from '@goldcrestscale/core';
import type { LogOffset, LogStream } from '@goldcrestscale/core';

/** Baseline without batching: one append per record. */
export class UnbatchedAppender extends Appender {
  constructor(private readonly stream: LogStream) {
    super();
  }

  override append(value: unknown): Promise<LogOffset> {
    return this.stream.append([value]);
  }
}
