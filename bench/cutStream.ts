import { LogError, LogStream } from '@goldcrestscale/core';
import type { LogOffset, LogPage } from '@goldcrestscale/core';

/** Stream that a VM can't reach. */
export class CutStream extends LogStream {
  override append(): Promise<LogOffset> {
    return Promise.reject(new LogError('not reached', 'refused'));
  }

  override read(): Promise<LogPage> {
    return Promise.reject(new LogError('not reached', 'unknown'));
  }
}
