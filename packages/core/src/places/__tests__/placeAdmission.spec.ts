import { setMaxListeners } from 'node:events';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, VmId } from '../../ids.js';
import { PeerWaiting } from '../peerWaiting.js';
import { PlaceAdmission } from '../placeAdmission.js';
import type { NewPlaceRequest } from '../placeAdmission.js';
import { service } from './placeFleet.js';

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

const { signal } = new AbortController();
setMaxListeners(0, signal);

/** An admission of one VM over a service whose room the test sets. */
const createVm = (initial: { total: number; free: number }, vmCount = 1) => {
  const room = { ...initial };
  const peers = new PeerWaiting(1_500);
  const fleet = { vmCount, reportDelayMs: 200, drawRandom: () => 0.5 };
  const admission = new PlaceAdmission({ fleet, peers });
  const started: string[] = [];
  const refused: string[] = [];
  const ask = (name: string, asked: Partial<NewPlaceRequest> = {}, callerSignal = signal) => {
    const request: NewPlaceRequest = {
      service,
      priority: 1,
      accountId: undefined,
      accountWeight: 1,
      places: 1,
      spentMs: 0,
      deadlineAtMs: performance.now() + 12_000,
      reachKey: '',
      objectiveMs: 1_000,
      runMs: 100,
      readRoom: () => ({ ...room }),
      ...asked,
    };
    const record = (isRefused: boolean): void => {
      (isRefused ? refused : started).push(name);
      if (!isRefused) room.free -= request.places;
    };
    const wait = admission.request(request, callerSignal);
    if (!wait) record(false);
    const result = wait?.then((refusal) => {
      record(refusal !== undefined);
      return refusal;
    });
    return { isAtOnce: wait === undefined, result };
  };
  const setFree = (free: number): void => {
    room.free = free;
  };
  return { admission, peers, started, refused, ask, setFree };
};

/** Frees one place after another. */
const freePlaces = async (
  { setFree, admission }: Pick<ReturnType<typeof createVm>, 'setFree' | 'admission'>,
  count: number,
): Promise<void> => {
  for (let index = 0; index < count; index += 1) {
    setFree(1);
    admission.recordEnd({ service, places: 1 });
    await vi.advanceTimersByTimeAsync(40);
  }
};

test('with room for all, requests pass at once and nothing is told', () => {
  const { ask, admission } = createVm({ total: 100, free: 60 });
  for (let index = 0; index < 20; index += 1) expect(ask('a').isAtOnce).toBe(true);
  expect(admission.listWaiting()).toEqual([]);
  expect(vi.getTimerCount()).toBe(0);
});

// If each counted as one in every VM, the second would wait with two thirds of the places free.
test('two large requests in one of 76 VMs are no shortage', () => {
  const { ask } = createVm({ total: 2_600, free: 1_800 }, 76);
  expect(ask('a', { places: 21, runMs: 300 }).isAtOnce).toBe(true);
  expect(ask('b', { places: 21, runMs: 300 }).isAtOnce).toBe(true);
});

test('a request to a service of few places is not held up by the number of VMs', () => {
  const { ask } = createVm({ total: 84, free: 70 }, 76);
  for (let count = 0; count < 3; count += 1) expect(ask('a').isAtOnce).toBe(true);
});

test('where no room is known, requests pass at once', () => {
  const { ask } = createVm({ total: 0, free: 0 });
  expect(ask('a', { readRoom: () => undefined }).isAtOnce).toBe(true);
});

// In the order of arrival, the ten requests that came first would get the places.
test('a more urgent request gets the next place, though it is larger and came later', async () => {
  const { ask, setFree, started } = createVm({ total: 100, free: 0 });
  for (let index = 0; index < 10; index += 1) ask(`low-${index}`, { priority: 2 });
  ask('urgent', { priority: 0, places: 8 });
  setFree(8);
  await vi.advanceTimersByTimeAsync(300);
  expect(started[0]).toBe('urgent');
});

test('the largest request is not passed over for small ones that come after it', async () => {
  const { ask, setFree, started } = createVm({ total: 100, free: 0 });
  ask('large', { places: 10, deadlineAtMs: performance.now() + 9_000 });
  for (let index = 0; index < 10; index += 1) ask(`small-${index}`);
  setFree(10);
  await vi.advanceTimersByTimeAsync(300);
  expect(started[0]).toBe('large');
});

// In the order of arrival, the account that asks most would get all places.
test('accounts get the places in turns, however much one of them asks', async () => {
  const { ask, setFree, started, admission } = createVm({ total: 100, free: 0 });
  const toAccount = (name: string) => ({ accountId: toId<ClientAccountId>(name) });
  for (let index = 0; index < 20; index += 1) ask('many', toAccount('many'));
  for (let index = 0; index < 4; index += 1) ask('few', toAccount('few'));
  await freePlaces({ setFree, admission }, 12);
  const places = started.slice(0, 6).filter((name) => name === 'few').length;
  expect(places).toBeGreaterThanOrEqual(3);
});

test('less urgent requests leave places free for more urgent ones', async () => {
  const { ask, started } = createVm({ total: 100, free: 14 });
  for (let index = 0; index < 10; index += 1) ask('urgent', { priority: 0 });
  const before = started.length;
  for (let index = 0; index < 10; index += 1) ask('low', { priority: 2 });
  await vi.advanceTimersByTimeAsync(100);
  expect(before).toBeGreaterThan(0);
  expect(started.filter((name) => name === 'low')).toEqual([]);
});

test('a request that by the estimate gets no place in time is refused at once', async () => {
  const { ask } = createVm({ total: 10, free: 0 });
  const results = Array.from({ length: 200 }, () => ask('a', { runMs: 100 }).result);
  await vi.advanceTimersByTimeAsync(0);
  const refusal = await results.at(-1);
  expect(refusal).toMatchObject({ cause: 'late', waitedMs: 0 });
  expect(refusal!.retryAfterMs).toBeGreaterThan(500);
});

test('a more urgent request displaces the least urgent one of a full queue at once', async () => {
  const { ask, refused } = createVm({ total: 100_000, free: 0 });
  for (let index = 0; index < 256; index += 1) ask('low', { priority: 2 });
  await vi.advanceTimersByTimeAsync(0);
  expect(refused).toEqual([]);
  ask('urgent', { priority: 0 });
  await vi.advanceTimersByTimeAsync(0);
  expect(refused).toEqual(['low']);
});

test('nobody waits for longer than the objective allows, and who left is forgotten', async () => {
  const { ask, refused, admission } = createVm({ total: 1_000, free: 0 });
  ask('a');
  await vi.advanceTimersByTimeAsync(520);
  expect(refused).toEqual(['a']);
  const controller = new AbortController();
  const { result } = ask('b', {}, controller.signal);
  controller.abort();
  await expect(result).resolves.toBeUndefined();
  expect(admission.listWaiting()).toEqual([]);
});

test('what more urgent requests wait for elsewhere is left to them', async () => {
  const { ask, peers, started } = createVm({ total: 100, free: 20 }, 2);
  peers.recordReport(toId<VmId>('vm-2'), [{ service, priority: 0, places: 30 }]);
  ask('low', { priority: 1 });
  await vi.advanceTimersByTimeAsync(100);
  expect(started).toEqual([]);
});

// A VM that takes all that it sees would fill the places of 30 VMs that it does not hear.
test('a VM that hears nobody keeps to its own part', async () => {
  const { ask, started } = createVm({ total: 300, free: 30 }, 30);
  for (let index = 0; index < 100; index += 1) ask('a');
  await vi.advanceTimersByTimeAsync(400);
  expect(started.length).toBeLessThanOrEqual(4 + 300 / 30);
});

test('who returns as told comes before newcomers; who repeats at once does not', async () => {
  const { ask, setFree, started, admission } = createVm({ total: 100, free: 0 });
  const first = ask('first', { runMs: 4_000, objectiveMs: 600 });
  const refusal = await (async () => {
    await vi.advanceTimersByTimeAsync(400);
    return first.result;
  })();
  const toldMs = refusal!.retryAfterMs;
  ask('newcomer');
  ask('hasty', { spentMs: 5 });
  ask('returned', { spentMs: toldMs + 50 });
  await freePlaces({ setFree, admission }, 6);
  expect(started[0]).toBe('returned');
});

test('the most urgent requests never wait, and less urgent ones leave them room', () => {
  const { ask } = createVm({ total: 10, free: 0 });
  expect(ask('urgent', { priority: 0, isPassing: true }).isAtOnce).toBe(true);
  expect(ask('late').isAtOnce).toBe(false);
  const vm = createVm({ total: 10, free: 3 });
  for (let index = 0; index < 40; index += 1) vm.ask('urgent', { priority: 0, isPassing: true });
  vm.setFree(3);
  expect(vm.ask('late').isAtOnce).toBe(false);
});

test('figures of other VMs that are too old decide nothing', () => {
  const { admission } = createVm({ total: 10, free: 0 });
  expect(admission.canDecide(800)).toBe(true);
  expect(admission.canDecide(790)).toBe(false);
});
