import type { LogFields, Logger } from '../logger/logger.js';

/** Signals that stop a process in order. */
export const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Signal that has the settings file checked. */
const CHECK_SIGNAL = 'SIGHUP';

/** Signals that a daemon handles for as long as it runs. */
export const DAEMON_SIGNALS = [...STOP_SIGNALS, CHECK_SIGNAL] as const;

/** Options of `ProcessSignals`. */
export interface ProcessSignalsOptions {
  readonly logger: Logger;
  /** Called on SIGHUP. */
  readonly onCheck?: () => void;
  /** Called on each stop signal after the first. */
  readonly onRepeatedStop?: () => void;
  /** Fields for the line of a signal, such as the number of open requests. */
  readonly describeState?: () => LogFields;
}

/**
 * Decides what a signal does, for the whole life of a process: the first SIGTERM or SIGINT stops it in
 * order, later ones change nothing, and SIGHUP never ends it.
 */
export class ProcessSignals {
  private readonly stopController = new AbortController();

  constructor(private readonly options: ProcessSignalsOptions) {}

  /** Aborts at the first stop signal. */
  get stopSignal(): AbortSignal {
    return this.stopController.signal;
  }

  handle(name: string): void {
    const { onCheck, onRepeatedStop } = this.options;
    if (name === CHECK_SIGNAL) {
      this.log(name, onCheck ? 'checks the settings file' : 'none');
      onCheck?.();
    } else if (this.stopSignal.aborted) {
      this.log(name, 'none, the process is stopping already');
      onRepeatedStop?.();
    } else {
      this.log(name, 'stops the process');
      this.stopController.abort();
    }
  }

  private log(name: string, effect: string): void {
    this.options.logger.info('signal received', {
      signal: name,
      effect,
      sinceStartMs: Math.round(performance.now()),
      ...this.options.describeState?.(),
    });
  }
}
