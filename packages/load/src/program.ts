import { readFile, writeFile } from 'node:fs/promises';
import { CliError, exitCodes, loadSecret, parseJson, parseSettings } from '@goldcrestscale/runtime';
import type { CliInvocation, CliOptions, ExitCode, Logger } from '@goldcrestscale/runtime';
import { loadToolSettingsSchema } from './config.js';
import type { LoadToolSettings } from './config.js';
import { MAX_RESPONSE_BYTES } from './constants.js';
import { compareReports, formatComparison, formatReport, reportSchema } from './report/index.js';
import type { Report } from './report/index.js';
import { runLoad } from './run/runLoad.js';
import { generateRequests, loadRecording, saveRecording } from './workload/index.js';
import type { PlannedRequest } from './workload/index.js';

const loadFlags = {
  json: { type: 'boolean', default: false },
  report: { type: 'string' },
  record: { type: 'string' },
  replay: { type: 'string' },
} as const;

const USAGE = `  $ goldcrest-load [run] --settings FILE
  $ goldcrest-load compare REPORT REPORT

Command flags
  --report FILE    Save the report as JSON
  --record FILE    Save the requests of the run, one JSON object per line
  --replay FILE    Send recorded requests in place of generated ones
  --json           Print JSON`;

type Invocation = CliInvocation<typeof loadFlags>;

const failUsage = (message: string): never => {
  throw new CliError(message, exitCodes.usage);
};

const loadReport = async (file: string): Promise<Report> => {
  const text = await readFile(file, 'utf8').catch((error: unknown) =>
    failUsage(`${file}: ${(error as Error).message}`),
  );
  return parseSettings(reportSchema, parseJson(text, { maxBytes: MAX_RESPONSE_BYTES }), file);
};

const printComparison = async ({ flags, input, stdout }: Invocation): Promise<ExitCode> => {
  const [, leftFile, rightFile, ...rest] = input;
  if (leftFile === undefined || rightFile === undefined || rest.length > 0) {
    return failUsage('usage: goldcrest-load compare REPORT REPORT');
  }
  const [left, right] = await Promise.all([loadReport(leftFile), loadReport(rightFile)]);
  const text = flags.json
    ? JSON.stringify(compareReports(left, right), undefined, 2)
    : formatComparison(left, right);
  stdout.write(`${text}\n`);
  return exitCodes.ok;
};

const loadApiKeys = async (settings: LoadToolSettings): Promise<Map<string, string>> =>
  new Map(
    await Promise.all(
      settings.accounts.map(async ({ id, key }) => [id, await loadSecret(key)] as const),
    ),
  );

const assertRequiredSettings = (settings: LoadToolSettings): void => {
  for (const field of ['entries', 'accounts', 'workloads'] as const) {
    if (settings[field].length === 0) failUsage(`the settings have no "${field}"`);
  }
};

const loadOrGenerateRequests = (
  settings: LoadToolSettings,
  recordingFile: string | undefined,
): Promise<PlannedRequest[]> =>
  recordingFile === undefined
    ? Promise.resolve(generateRequests(settings))
    : loadRecording(recordingFile, settings.maxRequests);

const runAndReport = async (
  signal: AbortSignal,
  settings: LoadToolSettings,
  logger: Logger,
  { flags, stdout }: Invocation,
): Promise<ExitCode> => {
  assertRequiredSettings(settings);
  const apiKeys = await loadApiKeys(settings);
  const requests = await loadOrGenerateRequests(settings, flags.replay);
  if (flags.record !== undefined) await saveRecording(flags.record, requests);
  const report = await runLoad({ settings, apiKeys, requests, logger, signal });
  const json = JSON.stringify(report, undefined, 2);
  if (flags.report !== undefined) await writeFile(flags.report, `${json}\n`);
  stdout.write(`${flags.json ? json : formatReport(report)}\n`);
  return report.faults.length === 0 ? exitCodes.ok : exitCodes.failure;
};

/** Creates the goldcrest-load program definition for `runCli`. */
export const createLoadProgram = (): CliOptions<
  typeof loadToolSettingsSchema,
  typeof loadFlags
> => ({
  name: 'goldcrest-load',
  version: '0.1.0',
  description: 'sends returning prompts and service calls in an open loop and reports the results',
  usage: USAGE,
  flags: loadFlags,
  schema: loadToolSettingsSchema,
  run: async (signal, settings, logger, invocation): Promise<ExitCode> => {
    const [command = 'run'] = invocation.input;
    if (command === 'compare') return printComparison(invocation);
    if (command === 'run') return runAndReport(signal, settings, logger, invocation);
    return failUsage(`unknown command "${command}"; commands: run, compare`);
  },
});
