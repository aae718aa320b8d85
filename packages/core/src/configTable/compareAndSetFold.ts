import type { EditRecord } from './records.js';
import { findLastEdit, getChangedKey } from './state.js';
import type { TableState } from './state.js';
import { TableFold } from './tableFold.js';
import type { EditRejection } from './tableFold.js';
import { validateChange } from './validate.js';

/** Accepts an edit only if it is based on the row's last accepted version and is valid. */
export class CompareAndSetFold extends TableFold {
  protected override decide(state: TableState, edit: EditRecord): EditRejection | undefined {
    const lastEdit = findLastEdit(state, getChangedKey(edit.change));
    if ((lastEdit?.offset ?? null) !== edit.baseOffset) {
      return lastEdit
        ? { reason: 'conflict', beatenBy: lastEdit.editId, beatenAt: lastEdit.offset }
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
