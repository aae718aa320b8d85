import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { CacheEventFeed } from '@goldcrestscale/core';
import type { EngineModel } from './engineModel.js';
import { EVENT_DROP_PROBABILITY, EVENT_LAG_MS, EVENT_REPEAT_PROBABILITY } from './constants.js';
import type { EventQueue } from './eventQueue.js';

const MAX_PAGE_EVENTS = 256;
const REPEATED_EVENT_COUNT = 5;

/** Delivers an engine's cache events to the index with a delay, losses and duplicates. */
export const transferCacheEvents = (
  engine: EngineModel,
  feed: CacheEventFeed,
  random: RandomGenerator,
  queue: EventQueue,
): void => {
  const { bootId } = engine;
  const nextSeq = feed.getNextSeq(engine.upstreamId);
  const isRepeated = uniformFloat64(random) < EVENT_REPEAT_PROBABILITY;
  const start = Math.max(0, nextSeq - (isRepeated ? REPEATED_EVENT_COUNT : 0));
  const events = engine.events
    .slice(start, start + MAX_PAGE_EVENTS)
    .filter(() => uniformFloat64(random) >= EVENT_DROP_PROBABILITY);
  queue.schedule(EVENT_LAG_MS, () => {
    feed.applyPage(engine.upstreamId, { bootId, events });
  });
};
