import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { toLogOffset } from '../../ids.js';
import type { LogOffset } from '../../ids.js';
import { LogError, LogStream, MemoryLog } from '../../log/index.js';
import type { LogPage, LogReadOptions, LogRecord } from '../../log/index.js';
import { isGoldcrestError } from '../../errors.js';
import { createGenerator } from '../../random.js';
import {
  CompareAndSetFold,
  TableReplica,
  computeStateDigest,
  createSnapshotRecord,
  createTableState,
  editRecordSchema,
  getChangedKey,
  rowSchema,
} from '../index.js';
import type { EditOutcome, RowChange, TableEditor, TableFold } from '../index.js';

/** Racing operators, VMs that restart, and a log with faults, in virtual time. */

export type Action =
  | { readonly type: 'edit'; readonly operator: number; readonly change: RowChange }
  | { readonly type: 'restart' | 'snapshot' | 'follow'; readonly vm: number }
  | { readonly type: 'trim' };

export type AppendFault = 'none' | 'loseAnswer' | 'late' | 'refuse';

export interface TableWorldOptions {
  readonly seed: number;
  /** Faults of the appends, in order; none after the last. */
  readonly faults: readonly AppendFault[];
  readonly createEditor: (stream: LogStream) => TableEditor;
  readonly fold?: TableFold;
}

const LATE_MS = 3_000;
const MAX_DELAY_MS = 20;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Log with faults that remembers what was trimmed. */
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
    if (fault === 'refuse') throw new LogError('429', 'refused');
    if (fault === 'late') {
      setTimeout(() => this.take(values), LATE_MS);
      throw new LogError('cut', 'unknown');
    }
    const first = this.take(values);
    await this.delay();
    if (fault === 'loseAnswer') throw new LogError('cut', 'unknown');
    return first;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await this.delay();
    const page = await this.memory.read(from, options);
    await this.delay();
    return page;
  }

  private take(values: readonly unknown[]): LogOffset {
    const offset = this.memory.headOffset;
    values.forEach((value, index) => {
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.history.push({ offset: toLogOffset(offset + index), timeMs: Date.now(), value: copy });
    });
    this.memory.append(values).catch(() => undefined);
    return offset;
  }

  private delay(): Promise<void> {
    return pause(uniformInt(this.generator, 0, MAX_DELAY_MS));
  }
}

const followToHead = async (replica: TableReplica): Promise<void> => {
  while (!(await replica.readNext()).atHead);
};

export class TableWorld {
  readonly outcomes: EditOutcome[] = [];

  private readonly log: FaultyLog;

  private readonly editors: TableEditor[];

  private replicas: TableReplica[];

  private readonly running: Promise<void>[] = [];

  /** Offset that the newest snapshot stands for; what is older may be trimmed. */
  private coveredOffset = toLogOffset(0);

  constructor(private readonly options: TableWorldOptions) {
    this.log = new FaultyLog(options.faults, createGenerator(options.seed));
    this.editors = [0, 1, 2].map(() => options.createEditor(this.log));
    this.replicas = [0, 1, 2].map(() => new TableReplica(this.log, options.fold));
  }

  /** Starts an action; edits run side by side. */
  start(action: Action): void {
    this.running.push(this.run(action).catch(() => undefined));
  }

  /** Gives everything that is wrong once all is quiet. */
  async judge(): Promise<string[]> {
    await Promise.all(this.running);
    await pause(2 * LATE_MS);
    const states = [...this.replicas, new TableReplica(this.log, this.options.fold)];
    for (const replica of states) await followToHead(replica);
    const digests = new Set(states.map((replica) => computeStateDigest(replica.state)));
    const reference = this.replayHistory();
    digests.add(computeStateDigest(reference.state));
    const problems = digests.size === 1 ? [] : ['states differ'];
    return [...problems, ...this.judgeAccepted(reference)];
  }

  private async run(action: Action): Promise<void> {
    if (action.type === 'edit') await this.edit(action.operator, action.change);
    else if (action.type === 'trim') this.log.memory.trim(this.coveredOffset);
    else if (action.type === 'restart') {
      this.replicas[action.vm] = new TableReplica(this.log, this.options.fold);
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

  /** Folds everything that was ever appended, trimmed or not. */
  private replayHistory() {
    const fold = this.options.fold ?? new CompareAndSetFold();
    return fold.foldRecords(createTableState(), this.log.history);
  }

  private judgeAccepted(reference: ReturnType<TableFold['foldRecords']>): string[] {
    const problems: string[] = [];
    const edits = this.log.history.flatMap(({ offset, value }) => {
      const parsed = editRecordSchema.safeParse(value);
      return parsed.success ? [{ ...parsed.data, offset }] : [];
    });
    const effective = reference.results.filter((result) => !result.rejection);
    this.outcomes.forEach((outcome) => {
      const took = effective.find((result) => result.editId === outcome.editId);
      if (outcome.type === 'accepted' && !took) problems.push('accepted edit without effect');
      if (outcome.type === 'rejected' && took) problems.push('rejected edit took effect');
      if (outcome.type !== 'accepted' || !took) return;
      const key = edits
        .filter(({ editId }) => editId === outcome.editId)
        .map(({ change }) => getChangedKey(change))[0];
      const next = edits.find(
        (edit) =>
          getChangedKey(edit.change) === key &&
          edit.offset > took.offset &&
          effective.some(({ offset }) => offset === edit.offset),
      );
      // Whoever changed the row next must have seen this edit.
      if (next && next.baseOffset !== took.offset) problems.push('accepted edit undone unseen');
    });
    return problems;
  }
}

/** Makes a change of one of a few rows. */
export const createChange = (row: number, value: number): RowChange => {
  if (value === 0) return { action: 'delete', key: `account/a${row}` };
  return {
    action: 'put',
    row: rowSchema.parse({ kind: 'account', id: `a${row}`, weight: value, keyHashes: [] }),
  };
};
