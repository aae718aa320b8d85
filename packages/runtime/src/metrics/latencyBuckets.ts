/**
 * Creates log-linear bucket bounds, as an HDR histogram has them: every doubling from `minMs` is
 * divided into `perOctave` equal steps, so that the relative error is the same everywhere.
 *
 * @returns ascending bounds from `minMs` to the first one at or over `maxMs`
 */
export const createLatencyBuckets = (minMs: number, maxMs: number, perOctave: number): number[] => {
  if (!(minMs > 0) || !(maxMs > minMs) || !Number.isInteger(perOctave) || perOctave < 1) {
    throw new RangeError('need 0 < minMs < maxMs and a whole number of buckets an octave');
  }
  const bounds = [minMs];
  for (let octave = minMs; octave < maxMs; octave *= 2) {
    for (let step = 1; step <= perOctave; step += 1) {
      bounds.push(octave * (1 + step / perOctave));
    }
  }
  const end = bounds.findIndex((bound) => bound >= maxMs);
  return bounds.slice(0, end + 1);
};
