import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { createRandomGenerator } from '@goldcrestscale/core';

/** Random choices of a plan. */
export class PlanDraw {
  private readonly generator;

  constructor(seed: number) {
    this.generator = createRandomGenerator(seed);
  }

  next(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.next(0, items.length - 1)]!;
  }

  isChosen(percent: number): boolean {
    return this.next(1, 100) <= percent;
  }
}
