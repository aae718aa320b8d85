import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createLatencyBucketsMs, createMetricsRegistry } from '../index.js';

test('creates log-linear buckets', () => {
  expect(createLatencyBucketsMs(1, 4, 2)).toEqual([1, 1.5, 2, 3, 4]);
  expect(createLatencyBucketsMs(1, 5, 2)).toEqual([1, 1.5, 2, 3, 4, 6]);
  expect(() => createLatencyBucketsMs(0, 1, 1)).toThrow(RangeError);
});

test('bounds the relative width of the buckets', () => {
  const options = [
    fc.integer({ min: 1, max: 50 }),
    fc.integer({ min: 51, max: 100_000 }),
    fc.integer({ min: 1, max: 16 }),
  ] as const;
  fc.assert(
    fc.property(...options, (minMs, maxMs, perOctave) => {
      const bounds = createLatencyBucketsMs(minMs, maxMs, perOctave);
      expect(bounds[0]).toBe(minMs);
      expect(bounds.at(-1)).toBeGreaterThanOrEqual(maxMs);
      bounds.slice(1).forEach((bound, index) => {
        const ratio = bound / (bounds[index] ?? 0);
        expect(ratio).toBeGreaterThan(1);
        expect(ratio).toBeLessThanOrEqual(1 + 1 / perOctave + 1e-9);
      });
    }),
    { seed: 1, numRuns: 100 },
  );
});

test('keeps the metrics of two registries separate', async () => {
  const left = createMetricsRegistry();
  const right = createMetricsRegistry();
  for (const metrics of [left, right]) {
    metrics.createCounter({ name: 'runs_total', help: 'Runs.', labelNames: ['zone'] });
  }
  const latency = left.createLatencyHistogram({
    name: 'ttft_ms',
    help: 'Time.',
    bucketsMs: [1, 2],
  });
  latency.observe(1.5);
  expect(await left.render()).toContain('ttft_ms_bucket{le="2"} 1');
  expect(await right.render()).not.toContain('ttft_ms');
});
