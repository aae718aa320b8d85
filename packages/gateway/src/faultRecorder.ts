import type { GatewayMetrics } from './metrics.js';
import type { RequestLog } from './requestLog.js';

/** Part of the gateway in which an unexpected error was caught. */
export type FaultPart =
  | 'caller request'
  | 'caller response'
  | 'auxiliary request'
  | 'listener'
  | 'upstream response'
  | 'mesh datagram'
  | 'record'
  | 'task';

/** Lines of a stack trace that are logged. */
const MAX_STACK_LINES = 6;

const describeFault = (cause: unknown): string =>
  cause instanceof Error && cause.stack !== undefined
    ? cause.stack.split('\n', MAX_STACK_LINES).join(' | ')
    : String(cause);

/** Records unexpected errors that end one exchange, record or task instead of the process. */
export class FaultRecorder {
  constructor(
    private readonly requestLog: RequestLog,
    private readonly metrics: Pick<GatewayMetrics, 'countFault'>,
  ) {}

  record(part: FaultPart, cause: unknown, fields: Readonly<Record<string, unknown>> = {}): void {
    this.metrics.countFault(part);
    this.requestLog.log(`fault in ${part}`, { ...fields, error: describeFault(cause) });
  }

  /** Calls a function; an error that it throws is recorded, and nothing is returned. */
  guard<Result>(
    part: FaultPart,
    run: () => Result,
    fields: Readonly<Record<string, unknown>> = {},
  ): Result | undefined {
    try {
      return run();
    } catch (cause) {
      this.record(part, cause, fields);
      return undefined;
    }
  }
}
