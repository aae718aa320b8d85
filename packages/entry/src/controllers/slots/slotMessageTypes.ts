import { z } from 'zod';
import { slotGrantSchema, slotReportSchema } from '@goldcrestscale/core';
import { defineMessage } from '../../mesh/index.js';

/** A VM's report to a granter; the reply is empty where the report is not answered. */
export const slotReportMessage = defineMessage(
  'slots.report',
  slotReportSchema,
  slotGrantSchema.nullable(),
);

/** A new granter's question for everything in flight in one group. */
export const slotInquiryMessage = defineMessage(
  'slots.inquiry',
  z.object({ group: z.string().max(64) }),
  z.array(slotReportSchema),
);
