import { snapshotRecordSchema, toLogOffset } from '@goldcrestscale/core';
import { z } from 'zod';
import { defineMessage } from '../../mesh/index.js';

/** Messages between entry VMs about the configuration table. */

const nothingSchema = z.strictObject({});
const offsetSchema = z.number().int().nonnegative().transform(toLogOffset);

/** Tells a peer that the table's stream has records up to an offset. */
export const offsetMessage = defineMessage(
  'table/offset',
  z.strictObject({ nextOffset: offsetSchema }),
);

/** Asks a peer how fresh its table is. */
export const freshnessMessage = defineMessage(
  'table/freshness',
  nothingSchema,
  z.strictObject({
    nextOffset: offsetSchema,
    /** Time since the peer knew the head of the log, in milliseconds; null before the first read. */
    ageMs: z.number().nonnegative().nullable(),
    logReadable: z.boolean(),
  }),
);

/** Asks a peer for its folded state. */
export const stateMessage = defineMessage('table/state', nothingSchema, snapshotRecordSchema);
