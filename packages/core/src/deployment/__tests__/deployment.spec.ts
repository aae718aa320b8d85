import fc from 'fast-check';
import { expect, onTestFinished, test, vi } from 'vitest';
import { toId, toWeightNumber } from '../../ids.js';
import type { AvailabilityZoneId, ModelId, ServiceName } from '../../ids.js';
import { readClocks } from '../../lease/index.js';
import {
  DeploymentView,
  OperatorState,
  computeMaxWeightsAgeMs,
  pickDestination,
} from '../index.js';
import type { OperatorChange } from '../index.js';
import { makeDeployment, makeRoute } from './fixtures.js';

const toServiceName = (name: string) => toId<ServiceName>(name);

test('the route with the longest matching prefix of the host is used', () => {
  const view = new DeploymentView(
    makeDeployment({
      routes: [
        makeRoute({ name: 'short', pathPrefix: '/a/' }),
        makeRoute({ name: 'long', pathPrefix: '/a/b/' }),
        makeRoute({ name: 'other', host: 'other.example', pathPrefix: '/a/b/c/' }),
      ],
    }),
  );
  expect(view.findRoute('site.example', '/a/b/c/1')?.name).toBe('long');
  expect(view.findRoute('site.example', '/a/x')?.name).toBe('short');
  expect(view.findRoute('site.example', '/ab/')).toBeUndefined();
  expect(view.findRoute('none.example', '/a/x')).toBeUndefined();
});

test('a traffic split follows the destination weights', () => {
  const route = makeRoute({
    destinations: [
      { service: toServiceName('main'), weight: 90 },
      { service: toServiceName('off'), weight: 0 },
      { service: toServiceName('new'), weight: 10 },
    ],
  });
  expect(pickDestination(route, 0)).toBe('main');
  expect(pickDestination(route, 0.89)).toBe('main');
  expect(pickDestination(route, 0.91)).toBe('new');
  expect(pickDestination({ ...route, destinations: [] }, 0.5)).toBeUndefined();
});

test('a service with weight 0 never receives a request', () => {
  fc.assert(
    fc.property(fc.double({ min: 0, max: 0.999999, noNaN: true }), (chance) => {
      const destinations = [
        { service: toServiceName('off'), weight: 0 },
        { service: toServiceName('on'), weight: 3 },
      ];
      return pickDestination(makeRoute({ destinations }), chance) === 'on';
    }),
  );
});

test('the shortest objective of a service is found', () => {
  const view = new DeploymentView(
    makeDeployment({ routes: [makeRoute({ objectiveMs: 800 }), makeRoute({ objectiveMs: 250 })] }),
  );
  expect(view.findShortestObjectiveMs(toServiceName('engines'))).toBe(250);
  expect(view.findShortestObjectiveMs(toServiceName('none'))).toBeUndefined();
});

test('the shortest objective for a gap between events is found', () => {
  const routes = [undefined, 600, 250].map((gapObjectiveMs) => makeRoute({ gapObjectiveMs }));
  const view = new DeploymentView(makeDeployment({ routes }));
  expect(view.findShortestGapMs(toServiceName('engines'))).toBe(250);
  const withoutGaps = new DeploymentView(makeDeployment({ routes: [makeRoute({})] }));
  expect(withoutGaps.findShortestGapMs(toServiceName('engines'))).toBeUndefined();
});

// With that of all routes, engines are kept free for short prompts against more urgent long ones.
test('the shortest objective for a priority leaves out less urgent routes', () => {
  const view = new DeploymentView(
    makeDeployment({
      routes: [
        makeRoute({ objectiveMs: 800, priority: 0 }),
        makeRoute({ objectiveMs: 250, priority: 2 }),
      ],
    }),
  );
  expect(view.findShortestObjectiveMs(toServiceName('engines'), 0)).toBe(800);
  expect(view.findShortestObjectiveMs(toServiceName('engines'), 2)).toBe(250);
  expect(view.findHighestPriority(toServiceName('engines'))).toBe(0);
  expect(view.findHighestPriority(toServiceName('none'))).toBeUndefined();
});

test('records in any order never roll the state back', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(50), { minLength: 1 }), (versions) => {
      const state = new OperatorState();
      let newest = -1;
      versions.forEach((version) => {
        state.apply({ kind: 'deployment', deployment: makeDeployment({ version }) });
        state.apply({
          kind: 'weights',
          model: toId<ModelId>('m'),
          wanted: toWeightNumber(version),
        });
        newest = Math.max(newest, version);
        expect(state.view?.version).toBe(newest);
        expect(state.findWeights(toId<ModelId>('m'))?.wanted).toBe(newest);
      });
    }),
  );
});

test('a zone is out until it is put back in, and a full list replaces the set', () => {
  const state = new OperatorState();
  const zone = toId<AvailabilityZoneId>('z1');
  expect(state.apply({ kind: 'zone-out', zone })).toBe(true);
  expect(state.isZoneOut(zone)).toBe(true);
  expect(state.apply({ kind: 'zone-in', zone })).toBe(true);
  expect(state.isZoneOut(zone)).toBe(false);
  expect(state.replaceZonesOut([zone])).toBe(true);
  expect(state.replaceZonesOut([zone])).toBe(false);
  expect(state.replaceZonesOut([])).toBe(true);
  expect(state.isZoneOut(zone)).toBe(false);
});

test('the time limit of outdated weights counts from the first version that superseded them', () => {
  const state = new OperatorState();
  const model = toId<ModelId>('m');
  [1, 2, 3].forEach((wanted) =>
    state.apply({ kind: 'weights', model, wanted: toWeightNumber(wanted) }),
  );
  expect(state.findSuperseding(model, toWeightNumber(1))?.wanted).toBe(2);
  expect(state.findSuperseding(model, toWeightNumber(2))?.wanted).toBe(3);
  expect(state.findSuperseding(model, toWeightNumber(3))).toBeUndefined();
  expect(state.findSuperseding(toId<ModelId>('other'), toWeightNumber(1))).toBeUndefined();
});

test('a process that restarts does not know how long ago weights were announced', () => {
  const model = toId<ModelId>('m');
  const change = { kind: 'weights', model, wanted: toWeightNumber(2) } as const;
  const restarted = new OperatorState(false);
  restarted.apply(change);
  expect(computeMaxWeightsAgeMs(restarted.findWeights(model)!)).toBe(Infinity);
  const started = new OperatorState(true);
  started.apply(change);
  expect(computeMaxWeightsAgeMs(started.findWeights(model)!)).toBeLessThan(1_000);
});

test('weights that are learned after a time without the log may be as old as that time', () => {
  vi.useFakeTimers();
  onTestFinished(() => {
    vi.useRealTimers();
  });
  const model = toId<ModelId>('m');
  const state = new OperatorState(false);
  state.recordConfirmation(readClocks());
  vi.advanceTimersByTime(1_500);
  state.apply({ kind: 'weights', model, wanted: toWeightNumber(2) });
  expect(computeMaxWeightsAgeMs(state.findWeights(model)!)).toBeLessThan(100);
  vi.advanceTimersByTime(8_000);
  state.apply({ kind: 'weights', model, wanted: toWeightNumber(3) });
  expect(computeMaxWeightsAgeMs(state.findWeights(model)!)).toBeGreaterThanOrEqual(9_500);
});

// Guards against records of models and zones without end, each of which is kept.
test('a bounded number of models and zones is recorded, and known ones change', () => {
  const state = new OperatorState();
  const applyAll = (changes: readonly OperatorChange[]): number =>
    changes.filter((change) => state.hasRoomFor(change) && state.apply(change)).length;
  const names = Array.from({ length: 3_000 }, (_value, index) => `name-${index}`);
  const buildWeights = (name: string, wanted: number): OperatorChange => ({
    kind: 'weights',
    model: toId<ModelId>(name),
    wanted: toWeightNumber(wanted),
  });
  const buildZone = (name: string): OperatorChange => ({
    kind: 'zone-out',
    zone: toId<AvailabilityZoneId>(name),
  });
  expect(applyAll(names.map((name) => buildWeights(name, 1)))).toBe(1_000);
  expect(applyAll(names.map(buildZone))).toBe(1_000);
  expect(applyAll([buildWeights('name-0', 2)])).toBe(1);
});
