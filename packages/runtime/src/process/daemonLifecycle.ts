import type { LogFields, Logger } from '../logger/logger.js';
import { DAEMON_SIGNALS, ProcessSignals } from './processSignals.js';

/** Maximum time for which an exit waits until its log lines are written, in milliseconds. */
const FLUSH_LIMIT_MS = 300;

const FAILURE_EXIT_CODE = 1;

/** Lines of a stack trace that are logged. */
const MAX_STACK_LINES = 6;

/** Options of `DaemonLifecycle`. */
export interface DaemonLifecycleOptions {
  readonly logger: Logger;
  /** Waits until the logged lines are written, at most for this time. */
  readonly flush: (limitMs: number) => Promise<void>;
  /** Called on SIGHUP. */
  readonly onCheck: () => void;
  /** Called on each stop signal after the first. */
  readonly onRepeatedStop: () => void;
  /** Fields for the lines about the process, such as the VM's id. */
  readonly describeState: () => LogFields;
}

const describeError = (error: unknown): string =>
  error instanceof Error && error.stack !== undefined
    ? error.stack.split('\n', MAX_STACK_LINES).join(' | ')
    : String(error);

/** The life of a daemon's process: its signals, its exit and its crash, each with a line in the log. */
export class DaemonLifecycle {
  private readonly signals: ProcessSignals;

  private isExiting = false;

  constructor(private readonly options: DaemonLifecycleOptions) {
    this.signals = new ProcessSignals(options);
  }

  /** Aborts at the first SIGTERM or SIGINT. */
  get stopSignal(): AbortSignal {
    return this.signals.stopSignal;
  }

  /** Handles the signals and uncaught errors of this process until it exits. */
  start(): void {
    for (const name of DAEMON_SIGNALS) process.on(name, () => this.signals.handle(name));
    // Includes unhandled rejections, which the runtime raises as errors.
    process.on('uncaughtException', (error, origin) => {
      void this.fail('uncaught error', error, { origin });
    });
  }

  /** Ends the process with an error as its last line. */
  async fail(reason: string, error: unknown, fields: LogFields = {}): Promise<void> {
    this.options.logger.error(reason, {
      ...fields,
      error: describeError(error),
      ...this.options.describeState(),
    });
    await this.exit(FAILURE_EXIT_CODE, reason);
  }

  /** Ends the process once its log lines are written. */
  async exit(code: number, reason: string): Promise<void> {
    if (this.isExiting) return;
    this.isExiting = true;
    this.options.logger.info('exit', {
      code,
      reason,
      sinceStartMs: Math.round(performance.now()),
      ...this.options.describeState(),
    });
    await this.options.flush(FLUSH_LIMIT_MS);
    // eslint-disable-next-line n/no-process-exit -- the daemon must exit even with open handles
    process.exit(code);
  }
}
