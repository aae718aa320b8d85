import { expect, test } from 'vitest';
import { drawFaultPlan } from '../faultPlan.js';

const SEEDS = Array.from({ length: 200 }, (_value, index) => index + 1);

const plans = SEEDS.map(drawFaultPlan);

test('a seed draws the same plan each time', () => {
  expect(drawFaultPlan(7)).toEqual(drawFaultPlan(7));
  expect(drawFaultPlan(7)).not.toEqual(drawFaultPlan(8));
});

test('plans keep to their limits', () => {
  plans.forEach(({ vms, upstreams, durationMs, steps }) => {
    expect(vms).toBeGreaterThanOrEqual(7);
    expect(vms).toBeLessThanOrEqual(9);
    expect(durationMs).toBeGreaterThanOrEqual(20_000);
    expect(durationMs).toBeLessThanOrEqual(40_000);
    steps.forEach((step) => {
      expect(step.atMs).toBeLessThan(durationMs);
      if ('vm' in step && step.vm !== undefined) expect(step.vm).toBeLessThan(vms);
      if ('upstream' in step) expect(step.upstream).toBeLessThan(upstreams);
    });
  });
});

test('the steps of a plan are in the order of time', () => {
  plans.forEach(({ steps }) => {
    const times = steps.map(({ atMs }) => atMs);
    expect(times).toEqual(times.toSorted((first, second) => first - second));
  });
});

test('the seeds draw every kind of step, and signals soon after a start', () => {
  const steps = plans.flatMap((plan) => plan.steps);
  expect([...new Set(steps.map(({ type }) => type))].toSorted()).toEqual([
    'answers',
    'configuration',
    'crash',
    'freeze',
    'leave',
    'logAnswers',
    'logLink',
    'noise',
    'restart',
    'settings',
    'signal',
    'upstreamLink',
  ]);
  const early = steps.flatMap((step) => (step.type === 'restart' ? step.early : []));
  expect(early.some(({ signal, afterMs }) => signal === 'SIGHUP' && afterMs < 100)).toBe(true);
});
