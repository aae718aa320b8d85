import { expect, test } from 'vitest';
import { drawFaultPlan, FULL_SHAPE, SHORT_SHAPE } from '../faultPlan.js';

const SEEDS = Array.from({ length: 200 }, (_value, index) => index + 1);

const plans = SEEDS.map((seed) => drawFaultPlan(seed));

const shortPlans = SEEDS.map((seed) => drawFaultPlan(seed, SHORT_SHAPE));

test('a seed draws the same plan each time', () => {
  expect(drawFaultPlan(7)).toEqual(drawFaultPlan(7));
  expect(drawFaultPlan(7)).not.toEqual(drawFaultPlan(8));
});

test.each([
  ['full', plans, FULL_SHAPE],
  ['short', shortPlans, SHORT_SHAPE],
])('%s plans keep to their limits', (_name, drawn, shape) => {
  drawn.forEach(({ vms, upstreams, durationMs, steps }) => {
    expect(vms).toBeGreaterThanOrEqual(shape.minVms);
    expect(vms).toBeLessThanOrEqual(shape.maxVms);
    expect(durationMs).toBeGreaterThanOrEqual(shape.minDurationMs);
    expect(durationMs).toBeLessThanOrEqual(shape.maxDurationMs);
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

test('full plans have 7 to 9 VMs and 20 to 40 s of steps', () => {
  expect(FULL_SHAPE).toEqual({
    minVms: 7,
    maxVms: 9,
    minDurationMs: 20_000,
    maxDurationMs: 40_000,
    quietMs: 15_000,
  });
});

test('the seeds draw bytes without end from each peer, crowds at a frozen VM, and idle connections', () => {
  const steps = plans.flatMap((plan) => plan.steps);
  const faults = steps.flatMap((step) => (step.type === 'answers' ? [step.fault] : []));
  expect(new Set(faults)).toContain('endlessHead');
  expect(new Set(faults)).toContain('endlessBodyInBytes');
  expect(steps.some((step) => step.type === 'logAnswers' && 'piece' in step.answer)).toBe(true);
  const clients = steps.flatMap((step) => (step.type === 'unauthenticated' ? [step] : []));
  const sending = clients.filter(({ bytes }) => bytes.piece !== '');
  expect(new Set(sending.map(({ port }) => port))).toEqual(
    new Set(['callers', 'directory', 'mesh']),
  );
  expect(clients.some(({ bytes }) => bytes.piece === '')).toBe(true);
  const isFrozenCrowd = ({ steps: drawn }: (typeof plans)[0]): boolean =>
    drawn.some(
      (crowd) =>
        crowd.type === 'crowd' &&
        drawn.some(
          (step) => step.type === 'freeze' && step.vm === crowd.vm && step.atMs === crowd.atMs,
        ),
    );
  expect(plans.some(isFrozenCrowd)).toBe(true);
});

test('the seeds draw every kind of step, and signals soon after a start', () => {
  const steps = plans.flatMap((plan) => plan.steps);
  expect([...new Set(steps.map(({ type }) => type))].toSorted()).toEqual([
    'answers',
    'configuration',
    'crash',
    'crowd',
    'freeze',
    'leave',
    'logAnswers',
    'logLink',
    'noise',
    'restart',
    'settings',
    'signal',
    'unauthenticated',
    'upstreamLink',
  ]);
  const early = steps.flatMap((step) => (step.type === 'restart' ? step.early : []));
  expect(early.some(({ signal, afterMs }) => signal === 'SIGHUP' && afterMs < 100)).toBe(true);
});
