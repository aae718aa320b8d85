import type { FaultRecorder } from '../faultRecorder.js';
import type { AttemptLogEntry, GatewayExchange } from '../filters/gatewayExchange.js';
import type { GatewayMetrics } from '../metrics.js';
import type { RequestLog } from '../requestLog.js';
import type { AttemptResult } from './attemptResult.js';
import type { UpstreamAttempt } from './upstreamAttempt.js';

/** Dependencies of the reporter. */
export interface ResponseReporterOptions {
  readonly faults: FaultRecorder;
  readonly metrics: GatewayMetrics;
  readonly requestLog: RequestLog;
}

interface EndedAttempt {
  readonly attempt: UpstreamAttempt;
  readonly result: AttemptResult;
}

/** Logs and counts what is unusual about the response to an attempt that has ended. */
export class ResponseReporter {
  constructor(private readonly options: ResponseReporterOptions) {}

  report(
    { head, route }: GatewayExchange,
    { upstreamId, via, outcome }: AttemptLogEntry,
    { attempt, result }: EndedAttempt,
  ): void {
    const { requestLog, metrics, faults } = this.options;
    const { fault, abandonment, framing, partialEventBytes } = attempt;
    const fields = { id: head.requestId, route: route?.name, upstreamId, via };
    if (fault) faults.record('upstream response', fault.cause, fields);
    if (abandonment) {
      const { reason, message } = abandonment;
      metrics.countAbandonedResponse(reason);
      if (reason === 'memory') requestLog.log('response given up', { ...fields, reason: message });
      else {
        metrics.countInvalidResponse();
        requestLog.log('invalid response of upstream', { ...fields, reason: message });
      }
    }
    if (framing !== 'connection') return;
    metrics.countUnframedResponse(result.kind);
    requestLog.log('response ended with its connection', { ...fields, outcome, partialEventBytes });
  }
}
