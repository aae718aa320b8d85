import { Writable } from 'node:stream';
import { createLogger } from '@goldcrestscale/runtime';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { LogHealthMonitor } from '../logHealthMonitor.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test('an outage that lasts is logged again, at a bounded rate and with its newest reason', () => {
  const lines: string[] = [];
  const stream = new Writable({
    write(line: Buffer, _encoding, done) {
      lines.push(line.toString());
      done();
    },
  });
  const logger = createLogger({ part: 'test', level: 'info', format: 'json', stream });
  const monitor = new LogHealthMonitor('operators', logger);
  for (let count = 0; count < 40; count += 1) {
    monitor.recordFailure(new Error(`failure ${count}`));
    vi.advanceTimersByTime(250);
  }
  expect(lines).toHaveLength(2);
  expect(JSON.parse(lines[1]!)).toMatchObject({
    message: '[test] shared log still unavailable',
    failures: 21,
    downMs: 5_000,
    error: 'Error: failure 20',
  });
});
