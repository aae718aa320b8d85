import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { toLogOffset } from '../../ids.js';
import type { LogOffset } from '../../ids.js';
import { LogError, LogStream, MemoryLog } from '../../log/index.js';
import type { LogPage, LogReadOptions, LogRecord } from '../../log/index.js';
import { isGoldcrestError } from '../../errors.js';
import { createRandomGenerator } from '../../random.js';
import {
  CompareAndSetStateMachine,
  TableReplica,
  computeStateDigest,
  createSnapshotRecord,
  createTableState,
  editRecordSchema,
  getChangedKey,
  rowSchema,
} from '../index.js';
import type { EditOutcome, RowChange, TableEditor, TableStateMachine } from '../index.js';

/** Simulates concurrent operators, restarting VMs and a faulty log in virtual time. */

export type Action =
  | { readonly type: 'edit'; readonly operator: number; readonly change: RowChange }
  | { readonly type: 'restart' | 'snapshot' | 'follow'; readonly vm: number }
  | { readonly type: 'trim' };

export type AppendFault = 'none' | 'loseResponse' | 'late' | 'refuse';

export interface TableSimulationOptions {
  readonly seed: number;
  /** Faults injected into consecutive appends; later appends succeed. */
  readonly faults: readonly AppendFault[];
  readonly createEditor: (stream: LogStream) => TableEditor;
  readonly stateMachine?: TableStateMachine;
}

const LATE_APPEND_DELAY_MS = 3_000;
const MAX_DELAY_MS = 20;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Log with injected faults that keeps the full history, including trimmed records. */
class FaultyLog extends LogStream {
  readonly history: LogRecord[] = [];

  readonly memory = new MemoryLog();

  private appends = 0;

  constructor(
    private readonly faults: readonly AppendFault[],
    private readonly generator: RandomGenerator,
  ) {
    super();
  }

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    const fault = this.faults[this.appends] ?? 'none';
    this.appends += 1;
    await this.delay();
    if (fault === 'refuse') throw new LogError('too many requests', 'refused');
    if (fault === 'late') {
      setTimeout(() => this.storeRecords(values), LATE_APPEND_DELAY_MS);
      throw new LogError('connection lost', 'unknown');
    }
    const first = this.storeRecords(values);
    await this.delay();
    if (fault === 'loseResponse') throw new LogError('connection lost', 'unknown');
    return first;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await this.delay();
    const page = await this.memory.read(from, options);
    await this.delay();
    return page;
  }

  private storeRecords(values: readonly unknown[]): LogOffset {
    const offset = this.memory.headOffset;
    values.forEach((value, index) => {
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.history.push({ offset: toLogOffset(offset + index), timeMs: Date.now(), value: copy });
    });
    this.memory.append(values).catch(() => undefined);
    return offset;
  }

  private delay(): Promise<void> {
    return sleep(uniformInt(this.generator, 0, MAX_DELAY_MS));
  }
}

const followToHead = async (replica: TableReplica): Promise<void> => {
  while (!(await replica.readNext()).atHead);
};

export class TableSimulation {
  readonly outcomes: EditOutcome[] = [];

  private readonly log: FaultyLog;

  private readonly editors: TableEditor[];

  private replicas: TableReplica[];

  private readonly running: Promise<void>[] = [];

  /** `nextOffset` of the newest snapshot; older records may be trimmed. */
  private coveredOffset = toLogOffset(0);

  constructor(private readonly options: TableSimulationOptions) {
    this.log = new FaultyLog(options.faults, createRandomGenerator(options.seed));
    this.editors = [0, 1, 2].map(() => options.createEditor(this.log));
    this.replicas = [0, 1, 2].map(() => new TableReplica(this.log, options.stateMachine));
  }

  /** Starts an action; edits run concurrently. */
  start(action: Action): void {
    this.running.push(this.run(action).catch(() => undefined));
  }

  /** Waits until all actions have finished and returns the violated invariants. */
  async findViolations(): Promise<string[]> {
    await Promise.all(this.running);
    await sleep(2 * LATE_APPEND_DELAY_MS);
    const states = [...this.replicas, new TableReplica(this.log, this.options.stateMachine)];
    for (const replica of states) await followToHead(replica);
    const digests = new Set(states.map((replica) => computeStateDigest(replica.state)));
    const reference = this.replayHistory();
    digests.add(computeStateDigest(reference.state));
    const problems = digests.size === 1 ? [] : ['states differ'];
    return [...problems, ...this.findOutcomeViolations(reference)];
  }

  private async run(action: Action): Promise<void> {
    if (action.type === 'edit') await this.edit(action.operator, action.change);
    else if (action.type === 'trim') this.log.memory.trim(this.coveredOffset);
    else if (action.type === 'restart') {
      this.replicas[action.vm] = new TableReplica(this.log, this.options.stateMachine);
    } else await this.followOrSnapshot(action.vm, action.type === 'snapshot');
  }

  private async edit(operator: number, change: RowChange): Promise<void> {
    try {
      const outcome = await this.editors[operator]?.applyChange(change);
      if (outcome) this.outcomes.push(outcome);
    } catch (error) {
      if (!isGoldcrestError(error)) throw error;
    }
  }

  private async followOrSnapshot(vm: number, isSnapshot: boolean): Promise<void> {
    const replica = this.replicas[vm];
    if (!replica) return;
    await followToHead(replica);
    if (!isSnapshot) return;
    const snapshot = createSnapshotRecord(replica.state);
    await this.log.append([snapshot]);
    this.coveredOffset = toLogOffset(Math.max(this.coveredOffset, snapshot.nextOffset));
  }

  /** Applies the full history, including trimmed records. */
  private replayHistory() {
    const stateMachine = this.options.stateMachine ?? new CompareAndSetStateMachine();
    return stateMachine.applyRecords(createTableState(), this.log.history);
  }

  private findOutcomeViolations(
    reference: ReturnType<TableStateMachine['applyRecords']>,
  ): string[] {
    const problems: string[] = [];
    const edits = this.log.history.flatMap(({ offset, value }) => {
      const parsed = editRecordSchema.safeParse(value);
      return parsed.success ? [{ ...parsed.data, offset }] : [];
    });
    const effective = reference.results.filter((result) => !result.rejection);
    this.outcomes.forEach((outcome) => {
      const effectiveEdit = effective.find((result) => result.editId === outcome.editId);
      if (outcome.type === 'accepted' && !effectiveEdit)
        problems.push('accepted edit without effect');
      if (outcome.type === 'rejected' && effectiveEdit) problems.push('rejected edit took effect');
      if (outcome.type !== 'accepted' || !effectiveEdit) return;
      const key = edits
        .filter(({ editId }) => editId === outcome.editId)
        .map(({ change }) => getChangedKey(change))[0];
      const nextEdit = edits.find(
        (edit) =>
          getChangedKey(edit.change) === key &&
          edit.offset > effectiveEdit.offset &&
          effective.some(({ offset }) => offset === edit.offset),
      );
      // The next accepted edit of the row must be based on this edit.
      if (nextEdit && nextEdit.baseOffset !== effectiveEdit.offset)
        problems.push('accepted edit overwritten');
    });
    return problems;
  }
}

/** Creates a change to one of a few rows. */
export const createChange = (row: number, value: number): RowChange => {
  if (value === 0) return { action: 'delete', key: `account/a${row}` };
  return {
    action: 'put',
    row: rowSchema.parse({ kind: 'account', id: `a${row}`, weight: value, keyHashes: [] }),
  };
};
