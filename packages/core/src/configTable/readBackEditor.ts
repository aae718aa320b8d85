import { randomUUID } from 'node:crypto';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { createRefusal } from '../errors.js';
import { toId } from '../ids.js';
import type { EditId } from '../ids.js';
import { LogError, createBackoff, sleep } from '../log/index.js';
import type { Backoff, LogStream } from '../log/index.js';
import {
  EDIT_BACKOFF_INITIAL_MS,
  EDIT_BACKOFF_MAX_MS,
  EDIT_TIMEOUT_MS,
  READ_BACK_WAIT_MS,
  REAPPEND_AFTER_MS,
} from './constants.js';
import type { EditRejection, EditResult } from './tableFold.js';
import type { BaseOffset, EditRecord, RowChange } from './records.js';
import { findLastEdit, getBaseOffset, getChangedKey } from './state.js';
import { TableEditor } from './tableEditor.js';
import type { EditOptions, EditOutcome, TableEditorOptions } from './tableEditor.js';
import { validateChange } from './validate.js';

const createLogRefusal = (): Error =>
  createRefusal('the log does not answer; nothing was changed, try again later', {
    code: 'log_unavailable',
    status: 503,
    retryAfterMs: EDIT_BACKOFF_MAX_MS,
  });

const createSeed = (): number => Math.trunc(Math.random() * 2 ** 31);

/** Says "accepted" only after it has read its edit back from the log. */
class ReadBackTableEditor extends TableEditor {
  private readonly generator: RandomGenerator;

  private readonly timeoutMs: number;

  private last: Promise<unknown> = Promise.resolve();

  constructor(stream: LogStream, options: TableEditorOptions) {
    super(stream, options.fold);
    this.generator = options.generator ?? xorshift128plus(createSeed());
    this.timeoutMs = options.timeoutMs ?? EDIT_TIMEOUT_MS;
  }

  override applyChange(change: RowChange, options: EditOptions = {}): Promise<EditOutcome> {
    // One edit at a time, so that each result goes to the edit that waits for it.
    const outcome = this.last.then(() => this.settleChange(change, options));
    this.last = outcome.catch(() => undefined);
    return outcome;
  }

  private async settleChange(change: RowChange, options: EditOptions): Promise<EditOutcome> {
    const editId = toId<EditId>(randomUUID());
    try {
      await this.readToHead(options.signal);
    } catch (error) {
      if (error instanceof LogError) throw createLogRefusal();
      throw error;
    }
    const base = getBaseOffset(this.replica.state, getChangedKey(change));
    const baseOffset = options.baseOffset === undefined ? base : options.baseOffset;
    const rejection = this.findRejection(change, baseOffset);
    if (rejection) return { type: 'rejected', editId, rejection };
    const edit: EditRecord = { type: 'edit', editId, baseOffset, change };
    return this.settleEdit(edit, options.signal);
  }

  /** Checks an edit against the newest known state, before anything is appended. */
  private findRejection(change: RowChange, baseOffset: BaseOffset): EditRejection | undefined {
    const last = findLastEdit(this.replica.state, getChangedKey(change));
    if ((last?.offset ?? null) !== baseOffset) {
      const beaten = last ? { beatenBy: last.editId, beatenAt: last.offset } : {};
      return { reason: 'conflict', ...beaten };
    }
    const problems = validateChange(this.replica.state, change);
    return problems.length > 0 ? { reason: 'invalid', problems } : undefined;
  }

  private async settleEdit(edit: EditRecord, signal?: AbortSignal): Promise<EditOutcome> {
    const endsAtMs = Date.now() + this.timeoutMs;
    const backoff = createBackoff({
      initialMs: EDIT_BACKOFF_INITIAL_MS,
      maxMs: EDIT_BACKOFF_MAX_MS,
      generator: this.generator,
    });
    let maybeAppended = false;
    while (Date.now() < endsAtMs && !signal?.aborted) {
      const appended = await this.tryAppend(edit, signal);
      maybeAppended ||= appended;
      if (appended) {
        const untilMs = Math.min(endsAtMs, Date.now() + REAPPEND_AFTER_MS);
        const outcome = await this.readBack(edit, untilMs, backoff, signal);
        if (outcome) return outcome;
      } else {
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
    if (!maybeAppended) throw createLogRefusal();
    return { type: 'unknown', editId: edit.editId };
  }

  /** @returns whether the edit may be in the log */
  private async tryAppend(edit: EditRecord, signal?: AbortSignal): Promise<boolean> {
    try {
      await this.stream.append([edit], signal);
      return true;
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      return error.failure !== 'refused';
    }
  }

  private async readBack(
    edit: EditRecord,
    untilMs: number,
    backoff: Backoff,
    signal?: AbortSignal,
  ): Promise<EditOutcome | undefined> {
    while (Date.now() < untilMs && !signal?.aborted) {
      const waitMs = Math.min(READ_BACK_WAIT_MS, untilMs - Date.now());
      try {
        const read = await this.replica.readNext({ waitMs, ...(signal ? { signal } : {}) });
        const outcome = this.findOutcome(edit, read.results);
        if (outcome) return outcome;
        backoff.reset();
      } catch (error) {
        if (!(error instanceof LogError)) throw error;
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
    return undefined;
  }

  private findOutcome(edit: EditRecord, results: readonly EditResult[]): EditOutcome | undefined {
    const { editId } = edit;
    const result = results.find((candidate) => candidate.editId === editId);
    if (result?.rejection) return { type: 'rejected', editId, rejection: result.rejection };
    // Behind a loaded snapshot the result itself is not seen, but the row names its edit.
    const last = findLastEdit(this.replica.state, getChangedKey(edit.change));
    const offset = result?.offset ?? (last?.editId === editId ? last.offset : undefined);
    return offset === undefined ? undefined : { type: 'accepted', editId, offset };
  }
}

/** Creates an editor of the table. */
export const createTableEditor = (
  stream: LogStream,
  options: TableEditorOptions = {},
): TableEditor => new ReadBackTableEditor(stream, options);
