import { Appender } from '@goldcrestscale/core';
import type { LogOffset, LogStream } from '@goldcrestscale/core';

/** Baseline: one append for each record. */
export class DirectAppender extends Appender {
  constructor(private readonly stream: LogStream) {
    super();
  }

  override append(value: unknown): Promise<LogOffset> {
    return this.stream.append([value]);
  }
}
