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
  READ_BACK_LONG_POLL_MS,
  REAPPEND_AFTER_MS,
} from './constants.js';
import type { EditRejection, EditResult } from './tableStateMachine.js';
import type { BaseOffset, EditRecord, RowChange } from './records.js';
import { findLastEdit, getBaseOffset, getChangedKey } from './tableState.js';
import { TableEditor } from './tableEditor.js';
import type { EditOptions, EditOutcome, TableEditorOptions } from './tableEditor.js';
import { validateChange } from './validateChange.js';

const createLogUnavailableError = (): Error =>
  createRefusal('the log is unavailable; nothing was changed, try again later', {
    code: 'log_unavailable',
    status: 503,
    retryAfterMs: EDIT_BACKOFF_MAX_MS,
  });

const createSeed = (): number => Math.trunc(Math.random() * 2 ** 31);

/** Reports an edit as accepted only after reading it back from the log. */
class ReadBackTableEditor extends TableEditor {
  private readonly generator: RandomGenerator;

  private readonly timeoutMs: number;

  private previousEdit: Promise<unknown> = Promise.resolve();

  constructor(stream: LogStream, options: TableEditorOptions) {
    super(stream, options.stateMachine);
    this.generator = options.generator ?? xorshift128plus(createSeed());
    this.timeoutMs = options.timeoutMs ?? EDIT_TIMEOUT_MS;
  }

  override applyChange(change: RowChange, options: EditOptions = {}): Promise<EditOutcome> {
    // Edits are serialized, so that each read-back result belongs to the edit in progress.
    const outcome = this.previousEdit.then(() => this.handleChange(change, options));
    this.previousEdit = outcome.catch(() => undefined);
    return outcome;
  }

  private async handleChange(change: RowChange, options: EditOptions): Promise<EditOutcome> {
    const editId = toId<EditId>(randomUUID());
    try {
      await this.readToHead(options.signal);
    } catch (error) {
      if (error instanceof LogError) throw createLogUnavailableError();
      throw error;
    }
    const base = getBaseOffset(this.replica.state, getChangedKey(change));
    const baseOffset = options.baseOffset === undefined ? base : options.baseOffset;
    const rejection = this.findRejection(change, baseOffset);
    if (rejection) return { type: 'rejected', editId, rejection };
    const edit: EditRecord = { type: 'edit', editId, baseOffset, change };
    return this.appendAndReadBack(edit, options.signal);
  }

  /** Checks an edit against the newest known state before it is appended. */
  private findRejection(change: RowChange, baseOffset: BaseOffset): EditRejection | undefined {
    const lastEdit = findLastEdit(this.replica.state, getChangedKey(change));
    if ((lastEdit?.offset ?? null) !== baseOffset) {
      const conflictingEdit = lastEdit
        ? { conflictingEditId: lastEdit.editId, conflictingOffset: lastEdit.offset }
        : {};
      return { reason: 'conflict', ...conflictingEdit };
    }
    const problems = validateChange(this.replica.state, change);
    return problems.length > 0 ? { reason: 'invalid', problems } : undefined;
  }

  private async appendAndReadBack(edit: EditRecord, signal?: AbortSignal): Promise<EditOutcome> {
    const deadlineMs = Date.now() + this.timeoutMs;
    const backoff = createBackoff({
      initialMs: EDIT_BACKOFF_INITIAL_MS,
      maxMs: EDIT_BACKOFF_MAX_MS,
      generator: this.generator,
    });
    let mayBeInLog = false;
    while (Date.now() < deadlineMs && !signal?.aborted) {
      const appended = await this.tryAppend(edit, signal);
      mayBeInLog ||= appended;
      if (appended) {
        const untilMs = Math.min(deadlineMs, Date.now() + REAPPEND_AFTER_MS);
        const outcome = await this.readBack(edit, untilMs, backoff, signal);
        if (outcome) return outcome;
      } else {
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
    if (!mayBeInLog) throw createLogUnavailableError();
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
      const waitMs = Math.min(READ_BACK_LONG_POLL_MS, untilMs - Date.now());
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
    // Results before a loaded snapshot are not available, but the row holds its last edit's id.
    const lastEdit = findLastEdit(this.replica.state, getChangedKey(edit.change));
    const offset = result?.offset ?? (lastEdit?.editId === editId ? lastEdit.offset : undefined);
    return offset === undefined ? undefined : { type: 'accepted', editId, offset };
  }
}

/** Creates an editor for the table. */
export const createTableEditor = (
  stream: LogStream,
  options: TableEditorOptions = {},
): TableEditor => new ReadBackTableEditor(stream, options);
