import { setMaxListeners } from 'node:events';
import FakeTimers from '@sinonjs/fake-timers';
import { createRandomGenerator, createTableEditor, rowSchema, toId } from '@goldcrestscale/core';
import type { BootId, ClientAccountId, RowChange, VmId } from '@goldcrestscale/core';
import { MemoryNetwork, TableGossip, createConfigTableController } from '@goldcrestscale/entry';
import type { ConfigTableController } from '@goldcrestscale/entry';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { UnreachableLogStream } from './unreachableLogStream.js';
import { DelayedLog } from './delayedLog.js';

/** Simulates the propagation of configuration table edits to all entry VMs in virtual time. */

const EDIT_COUNT = 60;
const EDIT_TIMEOUT_MS = 20_000;
const STEP_MS = 5;
const SEED = 1;
const ACCOUNT_ID = toId<ClientAccountId>('yard');

/** Size of the simulated fleet. */
export interface FleetOptions {
  readonly vmCount: number;
  /** VMs without access to the log, which receive edits from their peers alone. */
  readonly unreachableVmCount: number;
}

/** Times from the acceptance of an edit until every VM applies it. */
export interface PropagationMetrics {
  readonly p50Ms: number;
  readonly maxMs: number;
}

const buildWeightChange = (weight: number): RowChange => ({
  action: 'put',
  row: rowSchema.parse({ kind: 'account', id: ACCOUNT_ID, weight, keyHashes: [] }),
});

const startControllers = (
  { vmCount, unreachableVmCount }: FleetOptions,
  log: DelayedLog,
  signal: AbortSignal,
): ConfigTableController[] => {
  const network = new MemoryNetwork();
  return Array.from({ length: vmCount }, (_, index) => {
    const generator = createRandomGenerator(SEED + index);
    const stream = index < unreachableVmCount ? new UnreachableLogStream() : log;
    const table = createConfigTableController({ stream, retentionMs: 86_400_000, generator });
    const identity = { vmId: toId<VmId>(`vm-${index}`), bootId: toId<BootId>('boot') };
    new TableGossip({ table, link: network.join(identity), generator }).start(signal);
    table.start(signal).catch(() => undefined);
    return table;
  });
};

/** Applies edits one after another and measures the propagation time of each. */
export const measureEditPropagation = async (
  options: FleetOptions,
): Promise<PropagationMetrics> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  const abortController = new AbortController();
  setMaxListeners(0, abortController.signal);
  const generator = createRandomGenerator(SEED);
  try {
    const log = new DelayedLog();
    const controllers = startControllers(options, log, abortController.signal);
    const editor = createTableEditor(log, { generator });
    await clock.tickAsync(2_000);
    const timesMs: number[] = [];
    for (let weight = 1; weight <= EDIT_COUNT; weight += 1) {
      await clock.tickAsync(uniformInt(generator, 0, 2_000));
      let acceptedAtMs = Number.NaN;
      const edit = editor.applyChange(buildWeightChange(weight)).then((outcome) => {
        if (outcome.type === 'accepted') acceptedAtMs = performance.now();
      });
      const isApplied = (table: ConfigTableController): boolean =>
        table.table.getAccount(ACCOUNT_ID)?.weight === weight;
      for (let waitedMs = 0; waitedMs < EDIT_TIMEOUT_MS; waitedMs += STEP_MS) {
        await clock.tickAsync(STEP_MS);
        if (!Number.isNaN(acceptedAtMs) && controllers.every(isApplied)) break;
      }
      await edit;
      timesMs.push(
        controllers.every(isApplied) ? performance.now() - acceptedAtMs : EDIT_TIMEOUT_MS,
      );
    }
    timesMs.sort((left, right) => left - right);
    const p50Ms = timesMs[Math.floor(EDIT_COUNT / 2)] ?? Number.NaN;
    return { p50Ms, maxMs: timesMs[EDIT_COUNT - 1] ?? Number.NaN };
  } finally {
    abortController.abort();
    clock.uninstall();
  }
};
