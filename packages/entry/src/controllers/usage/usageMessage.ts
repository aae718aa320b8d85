import { toId } from '@goldcrestscale/core';
import type {
  AccountUsage,
  ClientAccountId,
  PoolId,
  UpstreamId,
  UsageReport,
} from '@goldcrestscale/core';
import { z } from 'zod';
import { defineMessage } from '../../mesh/index.js';

const accountUsageSchema: z.ZodType<AccountUsage> = z.object({
  poolId: z.string().transform((value) => toId<PoolId>(value)),
  accountId: z.string().transform((value) => toId<ClientAccountId>(value)),
  weight: z.number().positive(),
  running: z.number().min(0),
  waiting: z.number().min(0),
  offeredPerSecond: z.number().min(0),
});

const usageReportSchema: z.ZodType<UsageReport> = z.object({
  sequence: z.number().int().positive(),
  whole: z.boolean(),
  usage: z.array(accountUsageSchema),
  upstreams: z.array(
    z.object({
      upstreamId: z.string().transform((value) => toId<UpstreamId>(value)),
      inFlight: z.number().min(0),
    }),
  ),
});

/** Usage report of a VM to its peers. */
export const usageMessage = defineMessage('usage', usageReportSchema);
