import { expect, test } from 'vitest';
import { SocketBudget } from '../socketBudget.js';

const countOpened = (tryOpen: () => boolean): number => {
  let count = 0;
  while (tryOpen()) count += 1;
  return count;
};

// Guards against parts that starve each other of descriptors.
test('a part leaves what others have reserved, and no part has more than its maximum', () => {
  const budget = new SocketBudget(100);
  const greedy = budget.createShare({ reserved: 10, max: 100 });
  const modest = budget.createShare({ reserved: 20, max: 30 });
  expect(countOpened(() => greedy.tryOpen())).toBe(80);
  expect(countOpened(() => modest.tryOpen())).toBe(20);
  for (let count = 0; count < 50; count += 1) greedy.release();
  expect(countOpened(() => modest.tryOpen())).toBe(10);
});
