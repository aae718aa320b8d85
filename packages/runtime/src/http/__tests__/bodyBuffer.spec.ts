import fc from 'fast-check';
import { expect, test } from 'vitest';
import { BodyBuffer } from '../bodyBuffer.js';

const chunkSizes = fc.array(
  fc.oneof(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 70_000 })),
  { maxLength: 60 },
);

const buildChunks = (sizes: readonly number[]): readonly Buffer[] =>
  sizes.map((size, index) => Buffer.alloc(size, index + 1));

test('a body comes out as it came in, whatever its chunks and its declared length', () => {
  fc.assert(
    fc.property(chunkSizes, fc.boolean(), fc.boolean(), (sizes, isDeclared, isTaken) => {
      const chunks = buildChunks(sizes);
      const whole = Buffer.concat(chunks);
      const body = new BodyBuffer(isDeclared ? whole.length : undefined);
      chunks.forEach((chunk) => body.add(chunk));
      expect(body.length).toBe(whole.length);
      expect(whole.equals(isTaken ? Buffer.concat(body.take()) : body.build())).toBe(true);
      if (isTaken) expect(body.build()).toHaveLength(0);
    }),
  );
});

/** Memory besides the bytes of a body: the free part of its last block. */
const MAX_SPARE_BYTES = 66_000;

// Guards against chunks that are kept one by one, each with a hundred times its bytes.
test('a body in small chunks takes little more memory than its bytes', () => {
  fc.assert(
    fc.property(chunkSizes, (sizes) => {
      const body = new BodyBuffer();
      let heldBytes = 0;
      buildChunks(sizes).forEach((chunk) => {
        heldBytes += body.computeGrowth(chunk.length);
        body.add(chunk);
        expect(heldBytes).toBeGreaterThanOrEqual(body.length);
        expect(heldBytes).toBeLessThanOrEqual(
          Math.min(2 * body.length + 256, body.length + MAX_SPARE_BYTES),
        );
      });
      expect(body.take().length).toBeLessThanOrEqual(sizes.length);
    }),
  );
  const body = new BodyBuffer();
  for (let count = 0; count < 100_000; count += 1) body.add(Buffer.from('x'));
  expect(body.take().length).toBeLessThan(20);
});
