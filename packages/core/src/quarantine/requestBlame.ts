import {
  LARGE_CLUSTER_CRASHES,
  MIN_LARGE_CLUSTER_SPREAD_MS,
  MIN_FRACTION_OF_ENDS,
  MIN_MINORITY_REQUEST_CRASHES,
  MIN_REQUEST_CRASHES,
  MIN_UNRIVALLED_REQUEST_CRASHES,
} from './constants.js';
import type { PatternEvidence } from './patternEvidence.js';
import type { RecentEnds } from './recentEnds.js';

/** What is done with a request: on trial, it is held until one VM has tried it. */
export type RequestBlame = 'none' | 'on-trial' | 'refused';

/** The requests that were lost when one boot of an upstream ended, by the boots that each was lost at. */
interface BootSuspects {
  /** Largest number of boots of one of them. */
  largest: number;
  /** How many of them have that number. */
  largestCount: number;
}

const groupByBoot = (
  requests: readonly PatternEvidence[],
): ReadonlyMap<string, Readonly<BootSuspects>> => {
  const suspectsByBoot = new Map<string, BootSuspects>();
  requests.forEach(({ bootKeys }) =>
    bootKeys.forEach((bootKey) => {
      const suspects = suspectsByBoot.get(bootKey);
      if (!suspects || suspects.largest < bootKeys.length) {
        suspectsByBoot.set(bootKey, { largest: bootKeys.length, largestCount: 1 });
      } else if (suspects.largest === bootKeys.length) suspects.largestCount += 1;
    }),
  );
  return suspectsByBoot;
};

const isLargeCluster = (times: readonly number[]): boolean =>
  times.length >= LARGE_CLUSTER_CRASHES && times.at(-1)! - times[0]! >= MIN_LARGE_CLUSTER_SPREAD_MS;

/** Counts the crashes of some boots; those at about the same time count once, or twice if they are many. */
const countCrashes = (request: PatternEvidence, bootKeys: readonly string[]): number => {
  const clusters = request.listClusters(new Set(bootKeys));
  return clusters.length + clusters.filter(isLargeCluster).length;
};

const decideMinCrashes = (fractionOfEnds: number, hasRival: boolean): number => {
  if (fractionOfEnds < MIN_FRACTION_OF_ENDS) return MIN_MINORITY_REQUEST_CRASHES;
  return fractionOfEnds < 1 || hasRival ? MIN_REQUEST_CRASHES : MIN_UNRIVALLED_REQUEST_CRASHES;
};

/**
 * Decides which requests crash the upstreams that run them.
 *
 * Other requests are lost together with one that crashes its upstream. So an end does not count
 * against a request if one that is blamed was lost there too and at more upstreams in all; and two
 * ends put a request on trial only if no other was lost at as many upstreams, and the service had no
 * other ends recently, since a sound one may have been the only one that ran. A refusal takes three,
 * and more while most upstreams end without the request.
 */
export const decideBlamedRequests = (
  requests: readonly PatternEvidence[],
  recentEnds: RecentEnds,
): ReadonlyMap<PatternEvidence, RequestBlame> => {
  const blamed = new Map<PatternEvidence, RequestBlame>();
  const suspectsByBoot = groupByBoot(requests);
  /** Number of boots of the blamed request, by the boots that it ended. */
  const blamedSizes = new Map<string, number>();
  requests
    .filter(({ bootKeys }) => bootKeys.length >= MIN_UNRIVALLED_REQUEST_CRASHES)
    .sort((left, right) => right.bootKeys.length - left.bootKeys.length)
    .forEach((request) => {
      const { length: size } = request.bootKeys;
      const unexplained = request.bootKeys.filter(
        (bootKey) => (blamedSizes.get(bootKey) ?? 0) <= size,
      );
      const crashes = countCrashes(request, unexplained);
      const hasRival = unexplained.some((bootKey) => {
        const { largest, largestCount } = suspectsByBoot.get(bootKey)!;
        return largest > size || largestCount > 1;
      });
      const fraction = recentEnds.computeFraction(request.crashesByBoot);
      if (crashes < decideMinCrashes(fraction, hasRival)) return;
      blamed.set(request, crashes < MIN_REQUEST_CRASHES ? 'on-trial' : 'refused');
      request.bootKeys.forEach((bootKey) =>
        blamedSizes.set(bootKey, Math.max(size, blamedSizes.get(bootKey) ?? 0)),
      );
    });
  return blamed;
};
