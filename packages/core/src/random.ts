import { randomInt } from 'node:crypto';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const SEED_LIMIT = 2 ** 31;

/** Creates a random number generator. @param seed chosen by the runtime where absent */
export const createGenerator = (seed: number = randomInt(SEED_LIMIT)): RandomGenerator =>
  xorshift128plus(seed);
