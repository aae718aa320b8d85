import { CRASH_CLUSTER_MS } from './constants.js';

/** Groups times of crashes that count once. @returns the times of each group, in order */
export const groupCrashTimes = (times: readonly number[]): readonly (readonly number[])[] => {
  const clusters: number[][] = [];
  [...times]
    .sort((left, right) => left - right)
    .forEach((atMs) => {
      const last = clusters.at(-1);
      if (last && atMs - last[0]! < CRASH_CLUSTER_MS) last.push(atMs);
      else clusters.push([atMs]);
    });
  return clusters;
};
