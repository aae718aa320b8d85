import { setMaxListeners } from 'node:events';
import FakeTimers from '@sinonjs/fake-timers';
import { createRandomGenerator, createTableEditor, rowSchema, toId } from '@goldcrestscale/core';
import type { BootId, ClientAccountId, RowChange, VmId } from '@goldcrestscale/core';
import { MemoryNetwork, TableGossip, createConfigTableController } from '@goldcrestscale/entry';
import type { ConfigTableController } from '@goldcrestscale/entry';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { CutStream } from './cutStream.js';
import { SlowLog } from './slowLog.js';

/** Edits that spread over entry VMs in virtual time. */

const EDITS = 60;
const LIMIT_MS = 20_000;
const STEP_MS = 5;
const SEED = 1;
const ACCOUNT_ID = toId<ClientAccountId>('yard');

/** A site whose edits are timed. */
export interface TableSite {
  readonly vms: number;
  /** VMs that can't reach the log and live on their peers. */
  readonly cutVms: number;
}

/** Times from "accepted" to "in force on every VM", in milliseconds. */
export interface SpreadFigures {
  readonly p50Ms: number;
  readonly maxMs: number;
}

const putWeight = (weight: number): RowChange => ({
  action: 'put',
  row: rowSchema.parse({ kind: 'account', id: ACCOUNT_ID, weight, keyHashes: [] }),
});

const startTables = (
  { vms, cutVms }: TableSite,
  log: SlowLog,
  signal: AbortSignal,
): ConfigTableController[] => {
  const network = new MemoryNetwork();
  return Array.from({ length: vms }, (_, index) => {
    const generator = createRandomGenerator(SEED + index);
    const stream = index < cutVms ? new CutStream() : log;
    const table = createConfigTableController({ stream, retentionMs: 86_400_000, generator });
    const identity = { vmId: toId<VmId>(`vm-${index}`), bootId: toId<BootId>('boot') };
    new TableGossip({ table, link: network.join(identity), generator }).start(signal);
    table.start(signal).catch(() => undefined);
    return table;
  });
};

/** Makes edits one after another and times each. */
export const runTableSite = async (site: TableSite): Promise<SpreadFigures> => {
  const clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  const ending = new AbortController();
  setMaxListeners(0, ending.signal);
  const generator = createRandomGenerator(SEED);
  try {
    const log = new SlowLog();
    const tables = startTables(site, log, ending.signal);
    const editor = createTableEditor(log, { generator });
    await clock.tickAsync(2_000);
    const timesMs: number[] = [];
    for (let weight = 1; weight <= EDITS; weight += 1) {
      await clock.tickAsync(uniformInt(generator, 0, 2_000));
      let acceptedAtMs = Number.NaN;
      const edit = editor.applyChange(putWeight(weight)).then((outcome) => {
        if (outcome.type === 'accepted') acceptedAtMs = performance.now();
      });
      const isInForce = (table: ConfigTableController): boolean =>
        table.table.getAccount(ACCOUNT_ID)?.weight === weight;
      for (let waitedMs = 0; waitedMs < LIMIT_MS; waitedMs += STEP_MS) {
        await clock.tickAsync(STEP_MS);
        if (!Number.isNaN(acceptedAtMs) && tables.every(isInForce)) break;
      }
      await edit;
      timesMs.push(tables.every(isInForce) ? performance.now() - acceptedAtMs : LIMIT_MS);
    }
    timesMs.sort((left, right) => left - right);
    const p50Ms = timesMs[Math.floor(EDITS / 2)] ?? Number.NaN;
    return { p50Ms, maxMs: timesMs[EDITS - 1] ?? Number.NaN };
  } finally {
    ending.abort();
    clock.uninstall();
  }
};
