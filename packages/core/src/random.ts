import { randomInt } from 'node:crypto';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const SEED_LIMIT = 2 ** 31;

/** Creates a pseudorandom number generator. @param seed random by default */
export const createRandomGenerator = (seed: number = randomInt(SEED_LIMIT)): RandomGenerator =>
  xorshift128plus(seed);
