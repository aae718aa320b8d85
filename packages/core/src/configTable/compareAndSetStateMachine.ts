import type { EditRecord } from './records.js';
import { findLastEdit, getChangedKey } from './tableState.js';
import type { TableState } from './tableState.js';
import { TableStateMachine } from './tableStateMachine.js';
import type { EditRejection } from './tableStateMachine.js';
import { validateChange } from './validateChange.js';

/** Accepts an edit only if it is based on the row's last accepted version and is valid. */
export class CompareAndSetStateMachine extends TableStateMachine {
  protected override decide(state: TableState, edit: EditRecord): EditRejection | undefined {
    const lastEdit = findLastEdit(state, getChangedKey(edit.change));
    if ((lastEdit?.offset ?? null) !== edit.baseOffset) {
      return lastEdit
        ? {
            reason: 'conflict',
            conflictingEditId: lastEdit.editId,
            conflictingOffset: lastEdit.offset,
          }
        : { reason: 'conflict' };
    }
    if (state.invalidEdits.has(edit.editId)) {
      return {
        reason: 'invalid',
        problems: ['an earlier copy of this edit was rejected as invalid'],
      };
    }
    const problems = validateChange(state, edit.change);
    return problems.length > 0 ? { reason: 'invalid', problems } : undefined;
  }
}
