import { LogError, LogStream } from '@goldcrestscale/core';
import type { LogOffset, LogPage } from '@goldcrestscale/core';

/** Log stream of a VM that cannot reach the log: every call fails. */
export class UnreachableLogStream extends LogStream {
  override append(): Promise<LogOffset> {
    return Promise.reject(new LogError('log unreachable', 'refused'));
  }

  override read(): Promise<LogPage> {
    return Promise.reject(new LogError('log unreachable', 'unknown'));
  }
}
