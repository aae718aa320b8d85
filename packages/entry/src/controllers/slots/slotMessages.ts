import { z } from 'zod';
import { slotGrantSchema, slotReportSchema } from '@goldcrestscale/core';
import { defineMessage } from '../../mesh/index.js';

/** A VM's report to a granter; the reply is null if the receiver is not the granter. */
export const slotReportMessage = defineMessage(
  'slots.report',
  slotReportSchema,
  slotGrantSchema.nullable(),
);

/** A new granter's inquiry for a VM's reports of all slots in a group. */
export const slotInquiryMessage = defineMessage(
  'slots.inquiry',
  z.object({ group: z.string().max(64) }),
  z.array(slotReportSchema),
);
