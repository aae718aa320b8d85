import { z } from 'zod';
import { toId, toLogOffset } from '../ids.js';
import type { EditId, LogOffset } from '../ids.js';
import { rowSchema } from './rows.js';
import type { RowKey } from './rows.js';

/** Records of the table's log stream. */

const ROW_KEY_PATTERN =
  /^(account|workload|model|zone|upstream|service)\/[a-z0-9][a-z0-9._-]{0,62}$/;
const MAX_EDIT_ID_LENGTH = 64;

const offsetSchema = z.number().int().nonnegative().transform(toLogOffset);
const rowKeySchema = z
  .string()
  .regex(ROW_KEY_PATTERN)
  .transform((value) => value as RowKey);
const editIdSchema = z
  .string()
  .min(1)
  .max(MAX_EDIT_ID_LENGTH)
  .transform((value) => toId<EditId>(value));

/** The change that an edit makes to one row. */
export const changeSchema = z.discriminatedUnion('action', [
  z.strictObject({ action: z.literal('put'), row: rowSchema }),
  z.strictObject({ action: z.literal('delete'), key: rowKeySchema }),
]);

/** An edit; accepted only if the row's last accepted edit is at `baseOffset`. */
export const editRecordSchema = z.strictObject({
  type: z.literal('edit'),
  editId: editIdSchema,
  /** Null for a row that does not exist and was not deleted within the retention. */
  baseOffset: offsetSchema.nullable(),
  change: changeSchema,
});

const rowVersionFields = { offset: offsetSchema, editId: editIdSchema };

/** The table state before the record at `nextOffset`. */
export const snapshotRecordSchema = z.strictObject({
  type: z.literal('snapshot'),
  nextOffset: offsetSchema,
  rows: z.array(z.strictObject({ ...rowVersionFields, row: rowSchema })),
  deleted: z.array(z.strictObject({ ...rowVersionFields, key: rowKeySchema, timeMs: z.number() })),
  invalidEdits: z.array(z.strictObject({ editId: editIdSchema, timeMs: z.number() })),
});

export const tableRecordSchema = z.discriminatedUnion('type', [
  editRecordSchema,
  snapshotRecordSchema,
]);

export type RowChange = z.output<typeof changeSchema>;
export type EditRecord = z.output<typeof editRecordSchema>;
export type SnapshotRecord = z.output<typeof snapshotRecordSchema>;
export type BaseOffset = LogOffset | null;
