/**
 * Creates log-linear bucket bounds like those of an HDR histogram: every doubling from `minMs` is
 * divided into `perOctave` equal steps, which bounds the relative error over the whole range.
 *
 * @returns ascending bounds from `minMs` to the first one that is at least `maxMs`
 */
export const createLatencyBucketsMs = (
  minMs: number,
  maxMs: number,
  bucketsPerOctave: number,
): number[] => {
  if (
    !(minMs > 0) ||
    !(maxMs > minMs) ||
    !Number.isInteger(bucketsPerOctave) ||
    bucketsPerOctave < 1
  ) {
    throw new RangeError(
      'expected 0 < minMs < maxMs and a positive integer number of buckets per octave',
    );
  }
  const boundsMs = [minMs];
  for (let octaveStartMs = minMs; octaveStartMs < maxMs; octaveStartMs *= 2) {
    for (let step = 1; step <= bucketsPerOctave; step += 1) {
      boundsMs.push(octaveStartMs * (1 + step / bucketsPerOctave));
    }
  }
  const lastIndex = boundsMs.findIndex((bound) => bound >= maxMs);
  return boundsMs.slice(0, lastIndex + 1);
};
