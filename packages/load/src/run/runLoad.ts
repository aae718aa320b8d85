import { randomUUID } from 'node:crypto';
import { sleep } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { createAttemptSender, createEntryDirectory, RequestRunner } from '../client/index.js';
import type { LoadToolSettings, Workload } from '../config.js';
import { createReportBuilder, fetchRunCounts } from '../report/index.js';
import type { Report, ReportBuilder, RunCounts } from '../report/index.js';
import type { PlannedRequest } from '../workload/index.js';

/** Inputs and dependencies of a run. */
export interface RunLoadOptions {
  readonly settings: LoadToolSettings;
  /** API keys by client account. */
  readonly apiKeys: ReadonlyMap<string, string>;
  /** Requests in order of their planned start. */
  readonly requests: readonly PlannedRequest[];
  readonly logger: Logger;
  /** Ends the run early and aborts the requests in flight. */
  readonly signal: AbortSignal;
}

const PROGRESS_INTERVAL_MS = 10_000;

/**
 * Open-loop load generator: starts requests on schedule, whether or not earlier ones have
 * completed.
 */
class OpenLoopGenerator {
  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly options: RunLoadOptions,
    private readonly runner: RequestRunner,
    private readonly report: ReportBuilder,
  ) {}

  async run(): Promise<void> {
    const { settings, requests, signal } = this.options;
    const workloads = new Map(settings.workloads.map((workload) => [workload.name, workload]));
    const startedAtMs = performance.now();
    for (const planned of requests) {
      const plannedAtMs = startedAtMs + planned.atMs;
      const waitMs = plannedAtMs - performance.now();
      if (waitMs > 0) await sleep(waitMs, signal);
      if (signal.aborted) break;
      this.startRequest(planned, workloads.get(planned.workload), plannedAtMs);
    }
    await Promise.all(this.running);
  }

  getInFlightCount(): number {
    return this.running.size;
  }

  private startRequest(
    planned: PlannedRequest,
    workload: Workload | undefined,
    plannedAtMs: number,
  ): void {
    const { settings, signal } = this.options;
    if (!workload || this.running.size >= settings.maxInFlight) {
      this.report.addNotSent(planned);
      return;
    }
    const completion = this.runner
      .run(planned, workload, plannedAtMs, signal)
      .then((result) => this.report.addResult(result))
      .finally(() => this.running.delete(completion));
    this.running.add(completion);
  }
}

const collectRunCounts = async (
  settings: LoadToolSettings,
  signal: AbortSignal,
): Promise<RunCounts | undefined> => {
  const services = settings.workloads.flatMap((workload) =>
    workload.type === 'service' && workload.unrepeatable ? [workload] : [],
  );
  if (services.some(({ countsUrls }) => countsUrls.length === 0)) return undefined;
  const urls = new Set(services.flatMap(({ countsUrls }) => countsUrls));
  return fetchRunCounts([...urls], signal);
};

/** Runs a load to completion and builds its report. */
export const runLoad = async (options: RunLoadOptions): Promise<Report> => {
  const { settings, requests, logger, apiKeys, signal } = options;
  const sender = createAttemptSender();
  const runner = new RequestRunner({
    settings,
    sender,
    directory: createEntryDirectory(settings.entries),
    context: { seed: settings.seed, runId: randomUUID(), apiKeys },
  });
  const report = createReportBuilder(settings, requests.length);
  const generator = new OpenLoopGenerator(options, runner, report);
  const progress = setInterval(
    () => logger.info('running', { underWay: generator.getInFlightCount() }),
    PROGRESS_INTERVAL_MS,
  );
  const startedAtMs = performance.now();
  try {
    await generator.run();
  } finally {
    clearInterval(progress);
    await sender.close();
  }
  const elapsedMs = performance.now() - startedAtMs;
  const afterRun = signal.aborted ? new AbortController().signal : signal;
  return report.build(elapsedMs, await collectRunCounts(settings, afterRun));
};
