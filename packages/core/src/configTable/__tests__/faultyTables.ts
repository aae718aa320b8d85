import { randomUUID } from 'node:crypto';
import { toId } from '../../ids.js';
import { LogError } from '../../log/index.js';
import {
  TableEditor,
  TableStateMachine,
  getBaseOffset,
  getChangedKey,
  validateChange,
} from '../index.js';
import type { EditOutcome, EditRejection, RowChange } from '../index.js';

/** Faulty state machine: the last edit wins, regardless of its base offset. */
export class LastWriterWinsStateMachine extends TableStateMachine {
  protected override decide(): EditRejection | undefined {
    return undefined;
  }
}

/** Faulty editor: reports an edit as accepted without reading it back. */
export class NoReadBackEditor extends TableEditor {
  override async applyChange(change: RowChange): Promise<EditOutcome> {
    const editId = toId<EditOutcome['editId']>(randomUUID());
    try {
      await this.readToHead();
      const problems = validateChange(this.replica.state, change);
      if (problems.length > 0) {
        return { type: 'rejected', editId, rejection: { reason: 'invalid', problems } };
      }
      const baseOffset = getBaseOffset(this.replica.state, getChangedKey(change));
      const edit = { type: 'edit', editId, baseOffset, change };
      const offset = await this.stream.append([edit]);
      return { type: 'accepted', editId, offset };
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      return { type: 'unknown', editId };
    }
  }
}
