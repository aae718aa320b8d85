import { z } from 'zod';
import { addressSchema, logSettingsSchema, secretReferenceSchema } from '@goldcrestscale/runtime';
import { MAX_DURATION_MS, MAX_IN_FLIGHT, MAX_REQUESTS } from './constants.js';

const MAX_PROMPT_TOKENS = 262_144;
const MAX_ANSWER_TOKENS = 65_536;
const MAX_RATE_PER_SECOND = 20_000;

const accountSchema = z.strictObject({
  id: z.string().min(1).describe('Name of the client account in the report.'),
  key: secretReferenceSchema,
  share: z.number().positive().default(1).describe('Relative share of the arrivals.'),
});

const sharedFields = {
  name: z.string().min(1).describe('Name of the workload in the report.'),
  accounts: z.array(z.string()).optional().describe('Client accounts that send it; all if absent.'),
  ratePerSecond: z
    .number()
    .positive()
    .max(MAX_RATE_PER_SECOND)
    .describe('Mean rate of the Poisson arrivals (new prompts or service calls) per second.'),
  workloadId: z.string().optional().describe('Workload row to use if an account has several.'),
};

const completionWorkloadSchema = z.strictObject({
  type: z.literal('completion'),
  ...sharedFields,
  model: z.string().min(1).describe('Model to request.'),
  weightVersions: z
    .array(z.string())
    .default([])
    .describe('Weight versions whose text an answer may have; if empty, the text is not checked.'),
  promptTokens: z
    .strictObject({
      min: z.number().int().min(1).max(MAX_PROMPT_TOKENS).describe('Smallest size in tokens.'),
      max: z.number().int().min(1).max(MAX_PROMPT_TOKENS).describe('Largest size in tokens.'),
    })
    .describe('Size of a new prompt in tokens, uniformly distributed.'),
  growthTokens: z
    .number()
    .int()
    .min(0)
    .max(MAX_PROMPT_TOKENS)
    .default(256)
    .describe('Number of tokens that a prompt gains with each return.'),
  maxPromptTokens: z
    .number()
    .int()
    .min(1)
    .max(MAX_PROMPT_TOKENS)
    .default(65_536)
    .describe('Size in tokens at which a prompt stops growing.'),
  meanReturns: z
    .number()
    .min(0)
    .max(1000)
    .default(3)
    .describe('Mean number of returns, geometrically distributed.'),
  meanGapMs: z
    .number()
    .positive()
    .default(600_000)
    .describe(
      'Mean gap before a return, exponentially distributed, before scaling, in milliseconds.',
    ),
  answerTokens: z
    .number()
    .int()
    .min(1)
    .max(MAX_ANSWER_TOKENS)
    .default(32)
    .describe('Answer size in tokens.'),
  stream: z.boolean().default(true).describe('Whether answers are streamed.'),
  chat: z.boolean().default(true).describe('Whether the chat completions API is used.'),
});

const serviceWorkloadSchema = z.strictObject({
  type: z.literal('service'),
  ...sharedFields,
  service: z.string().min(1).describe('Service to call.'),
  method: z.enum(['GET', 'POST']).default('POST').describe('HTTP method.'),
  path: z.string().startsWith('/').describe('Path within the service.'),
  unrepeatable: z
    .boolean()
    .default(false)
    .describe('Whether a call must run at most once; it then carries an idempotency key.'),
  countsUrls: z
    .array(z.url())
    .default([])
    .describe('URLs of the stand-in services that report how often each call ran.'),
});

/** Settings file of goldcrest-load. */
export const loadToolSettingsSchema = z.strictObject({
  name: z.string().default('run').describe('Name of the run in the report.'),
  entries: z
    .array(addressSchema)
    .default([])
    .describe('Entry VMs to fetch the address list from first.'),
  addressOrder: z
    .enum(['preference', 'session'])
    .default('preference')
    .describe(
      'Whether callers start with the first address of the list, or each session starts at a different one.',
    ),
  seed: z.number().int().default(1).describe('Seed of the generated workloads.'),
  durationMs: z
    .number()
    .int()
    .min(100)
    .max(MAX_DURATION_MS)
    .default(30_000)
    .describe('Period in which requests are sent, in milliseconds.'),
  maxRequests: z
    .number()
    .int()
    .min(1)
    .max(MAX_REQUESTS)
    .default(10_000)
    .describe('Maximum number of requests of the run.'),
  maxInFlight: z
    .number()
    .int()
    .min(1)
    .max(MAX_IN_FLIGHT)
    .default(1_000)
    .describe('Maximum number of requests in flight; an arrival above it is counted as not sent.'),
  requestTimeoutMs: z
    .number()
    .int()
    .min(10)
    .max(600_000)
    .default(30_000)
    .describe('Timeout of one request including its retries, in milliseconds.'),
  maxAttempts: z
    .number()
    .int()
    .min(1)
    .max(20)
    .default(4)
    .describe('Maximum number of attempts per request.'),
  gapScale: z
    .number()
    .positive()
    .default(1)
    .describe('Scale factor for every gap, so that the traffic of a day fits into a short run.'),
  accounts: z.array(accountSchema).default([]).describe('Client accounts to send as.'),
  workloads: z
    .array(z.discriminatedUnion('type', [completionWorkloadSchema, serviceWorkloadSchema]))
    .default([])
    .describe('Workloads to send.'),
  windows: z
    .array(
      z.strictObject({
        name: z.string().min(1).describe('Name of the report section.'),
        fromMs: z
          .number()
          .min(0)
          .describe('Start of the window, relative to the start of the run, in milliseconds.'),
        toMs: z
          .number()
          .positive()
          .describe('End of the window, relative to the start of the run, in milliseconds.'),
      }),
    )
    .default([])
    .describe('Time windows of the run that get their own report section.'),
  log: logSettingsSchema,
});

/** Resolved settings of goldcrest-load. */
export type LoadToolSettings = z.output<typeof loadToolSettingsSchema>;
export type Workload = LoadToolSettings['workloads'][number];
export type CompletionWorkload = Extract<Workload, { type: 'completion' }>;
export type ServiceWorkload = Extract<Workload, { type: 'service' }>;
