import { LogStream, MemoryLog } from '@goldcrestscale/core';
import type { LogOffset, LogPage, LogReadOptions } from '@goldcrestscale/core';
import { pause } from './pause.js';

const APPEND_MS = 5;
const READ_MS = 2;

/** Log whose calls take time and are counted. */
export class SlowLog extends LogStream {
  appends = 0;

  private readonly memory = new MemoryLog();

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    this.appends += 1;
    await pause(APPEND_MS / 2);
    const offset = await this.memory.append(values);
    await pause(APPEND_MS / 2);
    return offset;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await pause(READ_MS / 2);
    const page = await this.memory.read(from, options);
    await pause(READ_MS / 2);
    return page;
  }
}
