import fc from 'fast-check';
import { expect, test } from 'vitest';
import { EventScanner } from '../dispatch/eventScanner.js';

const scanText = (text: string): { ends: readonly number[]; partial: number } => {
  const scanner = new EventScanner();
  const ends = scanner.scan(Buffer.from(text));
  return { ends, partial: scanner.partialEventBytes };
};

test('an event ends with a blank line, in either line ending', () => {
  expect(scanText('id: 1\n\n')).toEqual({ ends: [7], partial: 0 });
  expect(scanText('id: 1\r\n\r\n')).toEqual({ ends: [9], partial: 0 });
  expect(scanText('id: 1\n\nid: 2\n')).toEqual({ ends: [7], partial: 6 });
  expect(scanText('')).toEqual({ ends: [], partial: 0 });
});

// Guards against an event end that is missed because a chunk ends between its line feeds.
test('finds the same event ends however the stream is split into chunks', () => {
  const line = fc.constantFrom('id: 1', 'data: x', '', ': comment');
  const ending = fc.constantFrom('\n', '\r\n');
  const text = fc
    .array(fc.tuple(line, ending), { maxLength: 20 })
    .map((lines) => Buffer.from(lines.flat().join('')));
  fc.assert(
    fc.property(text, fc.array(fc.nat(200), { maxLength: 8 }), (stream, cuts) => {
      const whole = new EventScanner();
      const expected = whole.scan(stream);
      const split = new EventScanner();
      const found: number[] = [];
      let position = 0;
      [...cuts, stream.length]
        .map((cut) => Math.min(cut, stream.length))
        .sort((left, right) => left - right)
        .forEach((cut) => {
          const start = position;
          split.scan(stream.subarray(start, cut)).forEach((end) => found.push(start + end));
          position = cut;
        });
      expect(found).toEqual(expected);
      expect(split.partialEventBytes).toBe(whole.partialEventBytes);
    }),
  );
});
