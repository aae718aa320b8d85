import { expect, test } from 'vitest';
import { toId } from '../../ids.js';
import type { ServiceName } from '../../ids.js';
import { subtractWaiting, sumWaiting } from '../peerWaiting.js';
import { computeHeadroom, computePlaces, computeQueuedSlots, computeRoom } from '../placeRoom.js';

const capacity = { slots: 64, memoryTokens: 80_000, backlogMs: 600 };
const none = { slots: 0, memoryTokens: 0, backlogMs: 0 };

// By slots alone, the second and the third engine would be nearly empty.
test('an engine is as full as what it has least left of', () => {
  const room = computeRoom([
    { capacity, used: none },
    { capacity, used: { slots: 4, memoryTokens: 60_000, backlogMs: 30 } },
    { capacity, used: { slots: 4, memoryTokens: 4_000, backlogMs: 700 } },
  ]);
  expect(room).toEqual({ total: 192, free: 80 });
});

test('nothing is known of a service without upstreams or without slots', () => {
  expect(computeRoom([])).toBeUndefined();
  const unbounded = { slots: Infinity, memoryTokens: Infinity, backlogMs: Infinity };
  expect(computeRoom([{ capacity: unbounded, used: none }])).toBeUndefined();
});

test('a request takes places by its memory and its prefill', () => {
  expect(computePlaces({ memoryTokens: 500, prefillMs: 5 }, capacity)).toBe(1);
  expect(computePlaces({ memoryTokens: 20_000, prefillMs: 5 }, capacity)).toBe(16);
  expect(computePlaces({ memoryTokens: 500, prefillMs: 150 }, capacity)).toBe(16);
  expect(computePlaces({ memoryTokens: 900_000, prefillMs: 5 }, capacity)).toBe(64);
  const unbounded = { slots: Infinity, memoryTokens: Infinity, backlogMs: Infinity };
  expect(computePlaces({ memoryTokens: 0, prefillMs: 0 }, unbounded)).toBe(1);
});

test('a plain upstream may queue what it serves in time', () => {
  expect(computeQueuedSlots(6, 80, 800)).toBe(30);
  expect(computeQueuedSlots(6, 4_000, 800)).toBe(6);
  expect(computeQueuedSlots(6, undefined, 800)).toBe(Infinity);
  expect(computeQueuedSlots(0, 80, 800)).toBe(Infinity);
});

test('the headroom follows the demand of more urgent requests within its bounds', () => {
  const room = { total: 100, free: 50 };
  expect(computeHeadroom(room, 0)).toBe(0);
  expect(computeHeadroom(room, 1)).toBe(5);
  expect(computeHeadroom(room, 20)).toBe(20);
  expect(computeHeadroom(room, 900)).toBe(50);
});

test('what waits in a VM is summed by relays and taken off for that VM', () => {
  const service = toId<ServiceName>('service');
  const own = [{ service, priority: 0, places: 3 }];
  const other = [
    { service, priority: 0, places: 2 },
    { service, priority: 2, places: 7 },
  ];
  const total = sumWaiting([own, other]);
  expect(total).toEqual([
    { service, priority: 0, places: 5 },
    { service, priority: 2, places: 7 },
  ]);
  expect(subtractWaiting(total, own)).toEqual(other);
  expect(subtractWaiting(own, own)).toEqual([]);
});
