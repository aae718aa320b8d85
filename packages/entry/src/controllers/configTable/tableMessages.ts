import { snapshotRecordSchema, toLogOffset } from '@goldcrestscale/core';
import { z } from 'zod';
import { defineMessage } from '../../mesh/index.js';

/** Messages between entry VMs about the configuration table. */

const offsetSchema = z.number().int().nonnegative().transform(toLogOffset);

/** Notifies a peer that the log of the table has records up to an offset. */
export const offsetMessage = defineMessage(
  'table/offset',
  z.strictObject({ nextOffset: offsetSchema }),
);

/** Requests a peer's state of the table; null if it is not newer than the offset. */
export const stateMessage = defineMessage(
  'table/state',
  z.strictObject({ aboveOffset: offsetSchema }),
  z.strictObject({ state: snapshotRecordSchema.nullable() }),
);
