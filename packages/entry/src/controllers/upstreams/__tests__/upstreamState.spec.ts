import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { VmId, VmRecord } from '@goldcrestscale/core';
import { loadReportSchema } from '../loadReport.js';
import { UpstreamState } from '../upstreamState.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const vm: VmRecord = {
  vmId: toId<VmId>('engine-1'),
  role: 'engine',
  address: '127.0.0.1:1',
  availabilityZone: toId('zone-a'),
  state: 'live',
};

const table = { getUpstream: () => undefined, isZoneOut: () => false };
const ejection = { getState: () => 'closed' as const };

const REPORT_AGE_MS = 200;

const createReport = (bootId: string, cold: boolean) =>
  loadReportSchema.parse({
    bootId,
    cold,
    running: 0,
    waiting: 0,
    maxConcurrent: 8,
    coldConcurrent: 2,
    ageMs: REPORT_AGE_MS,
  });

test('figures of the previous process do not make a restarted upstream warm', () => {
  const state = new UpstreamState(vm);
  const isCold = () => state.buildView(table, ejection)?.cold;
  state.updateLoadReport(createReport('first', false));
  vi.advanceTimersByTime(500);
  state.updateLoadReport(createReport('first', false));
  expect(isCold()).toBe(false);
  vi.advanceTimersByTime(500);
  state.updateLoadReport(createReport('second', false));
  expect(isCold()).toBe(true);
  vi.advanceTimersByTime(500);
  state.updateLoadReport(createReport('second', true));
  expect(isCold()).toBe(true);
  vi.advanceTimersByTime(500);
  state.updateLoadReport(createReport('second', false));
  expect(isCold()).toBe(false);
});
