import { LogStream, MemoryLog } from '@goldcrestscale/core';
import type { LogOffset, LogPage, LogReadOptions } from '@goldcrestscale/core';
import { sleep } from './sleep.js';

const APPEND_MS = 5;
const READ_MS = 2;

/** In-memory log with simulated latency and a counter of append calls. */
export class DelayedLog extends LogStream {
  appends = 0;

  private readonly memory = new MemoryLog();

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    this.appends += 1;
    await sleep(APPEND_MS / 2);
    const offset = await this.memory.append(values);
    await sleep(APPEND_MS / 2);
    return offset;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await sleep(READ_MS / 2);
    const page = await this.memory.read(from, options);
    await sleep(READ_MS / 2);
    return page;
  }
}
