import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';

/** Number of initial draws to discard, because the generator's state is not well mixed at first. */
const DISCARDED_DRAWS = 64;

/** Seeded random number generator. */
export interface RandomSource {
  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  nextFloat(): number;
  /** Draws an integer from `min` to `max`, both inclusive. */
  nextInteger(min: number, max: number): number;
  /** Draws an exponentially distributed number. */
  nextExponential(mean: number): number;
  /** Draws a geometrically distributed count. */
  nextGeometric(mean: number): number;
}

/** Creates a random source; the same seed and name give the same sequence. */
export const createRandomSource = (seed: number, name = ''): RandomSource => {
  const digest = createHash('sha256').update(`${seed}\n${name}`).digest();
  const generator = xorshift128plus(digest.readInt32BE(0));
  const nextFloat = (): number => uniformFloat64(generator);
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) nextFloat();
  return {
    nextFloat,
    nextInteger: (min, max) => min + Math.floor(nextFloat() * (Math.max(max, min) - min + 1)),
    nextExponential: (mean) => -Math.log(1 - nextFloat()) * mean,
    nextGeometric: (mean) =>
      mean === 0 ? 0 : Math.floor(Math.log(1 - nextFloat()) / Math.log(mean / (1 + mean))),
  };
};
