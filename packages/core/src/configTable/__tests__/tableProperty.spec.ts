import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createRandomGenerator } from '../../random.js';
import { createTableEditor } from '../index.js';
import type { EditOutcome } from '../index.js';
import { LastWriterWinsStateMachine, NoReadBackEditor } from './faultyTables.js';
import { TableSimulation, createChange } from './tableSimulation.js';
import type { Action, AppendFault, TableSimulationOptions } from './tableSimulation.js';

const CHECK_DURATION_MS = 60_000;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
});
afterEach(() => {
  vi.useRealTimers();
});

const arbitraryEdit = fc
  .record({
    operator: fc.integer({ min: 0, max: 2 }),
    row: fc.integer({ min: 0, max: 1 }),
    value: fc.integer({ min: 0, max: 9 }),
  })
  .map(({ operator, row, value }): Action => ({
    type: 'edit',
    operator,
    change: createChange(row, value),
  }));
const arbitraryMaintenance = fc.oneof(
  fc
    .record({
      type: fc.constantFrom('restart' as const, 'snapshot' as const, 'follow' as const),
      vm: fc.integer({ min: 0, max: 2 }),
    })
    .map((action): Action => action),
  fc.constant<Action>({ type: 'trim' }),
);
const arbitraryRun = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(fc.constantFrom<AppendFault>('none', 'none', 'loseResponse', 'late', 'refuse'), {
    maxLength: 12,
  }),
  steps: fc.array(
    fc.record({
      action: fc.oneof({ weight: 3, arbitrary: arbitraryEdit }, arbitraryMaintenance),
      gapMs: fc.integer({ min: 0, max: 60 }),
    }),
    { minLength: 2, maxLength: 25 },
  ),
});

const checkTable = (
  createOptions: (seed: number) => Pick<TableSimulationOptions, 'createEditor' | 'stateMachine'>,
  numRuns: number,
  onOutcome: (outcome: EditOutcome) => void = () => undefined,
) =>
  fc.check(
    fc.asyncProperty(arbitraryRun, async ({ seed, faults, steps }) => {
      const simulation = new TableSimulation({ seed, faults, ...createOptions(seed) });
      for (const { action, gapMs } of steps) {
        simulation.start(action);
        await vi.advanceTimersByTimeAsync(gapMs);
      }
      const violations = simulation.findViolations();
      await vi.advanceTimersByTimeAsync(CHECK_DURATION_MS);
      expect(await violations).toEqual([]);
      simulation.outcomes.forEach(onOutcome);
    }),
    { seed: 1, numRuns },
  );

const createRealEditor = (seed: number): TableSimulationOptions['createEditor'] => {
  const generator = createRandomGenerator(seed);
  return (stream) => createTableEditor(stream, { generator });
};

test('replicas converge and no accepted edit is lost', async () => {
  const counts = { accepted: 0, rejected: 0, unknown: 0 };
  const result = await checkTable(
    (seed) => ({ createEditor: createRealEditor(seed) }),
    400,
    ({ type }) => {
      counts[type] += 1;
    },
  );
  expect(fc.defaultReportMessage(result) ?? 'passed').toBe('passed');
  expect(counts.accepted).toBeGreaterThan(1000);
  expect(counts.rejected).toBeGreaterThan(100);
});

test('the check detects a last-writer-wins state machine', async () => {
  const stateMachine = new LastWriterWinsStateMachine();
  const result = await checkTable(
    (seed) => ({
      stateMachine,
      createEditor: (stream) =>
        createTableEditor(stream, { generator: createRandomGenerator(seed), stateMachine }),
    }),
    400,
  );
  expect(String(result.errorInstance)).toContain('accepted edit overwritten');
});

test('the check detects an editor without read-back', async () => {
  const result = await checkTable(
    () => ({ createEditor: (stream) => new NoReadBackEditor(stream) }),
    400,
  );
  expect(String(result.errorInstance)).toContain('accepted edit without effect');
});
