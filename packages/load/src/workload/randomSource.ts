import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';

/** First draws that are left out: the generator's state is not mixed yet. */
const WARM_UP_DRAWS = 64;

/** Seeded random draws. */
export interface RandomSource {
  /** Takes a number from 0 up to but not including 1. */
  nextFloat(): number;
  /** Takes a whole number from `min` to `max`. */
  nextInteger(min: number, max: number): number;
  /** Takes an exponentially distributed number. */
  nextExponential(mean: number): number;
  /** Takes a geometrically distributed count. */
  nextGeometric(mean: number): number;
}

/** Creates a source of random draws; the same seed and name give the same draws. */
export const createRandomSource = (seed: number, name = ''): RandomSource => {
  const digest = createHash('sha256').update(`${seed}\n${name}`).digest();
  const generator = xorshift128plus(digest.readInt32BE(0));
  const nextFloat = (): number => uniformFloat64(generator);
  for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) nextFloat();
  return {
    nextFloat,
    nextInteger: (min, max) => min + Math.floor(nextFloat() * (Math.max(max, min) - min + 1)),
    nextExponential: (mean) => -Math.log(1 - nextFloat()) * mean,
    nextGeometric: (mean) =>
      mean === 0 ? 0 : Math.floor(Math.log(1 - nextFloat()) / Math.log(mean / (1 + mean))),
  };
};
