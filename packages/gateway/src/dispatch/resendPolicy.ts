import { MAX_UNREACHED_TRIES, UnreachedTries, canHaveArrived } from '@goldcrestscale/core';
import type { FleetRetryBudget } from '@goldcrestscale/core';
import { MAX_UNEXECUTED_EXTRA_ATTEMPTS, MAX_WITHHELD_SENDS } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import { findSendEnd } from './attemptResult.js';
import type { AttemptResult } from './attemptResult.js';
import type { RequestProgress } from './requestProgress.js';

type EndedResult = Exclude<AttemptResult, { kind: 'answered' }>;

/** Whether the route allows one more send after one that may have arrived. */
const canRepeat = (
  exchange: GatewayExchange,
  { sends, executions }: RequestProgress,
  { kind }: EndedResult,
): boolean => {
  const { maxUpstreams, idempotent, resumable } = requireRoute(exchange);
  if (sends.arrivals >= maxUpstreams + MAX_UNEXECUTED_EXTRA_ATTEMPTS) return false;
  if (kind === 'not-run') return true;
  return idempotent && executions < maxUpstreams && (kind !== 'broken' || resumable);
};

/** Whether there is memory now for a response that was given up for want of it. */
const hasMemory = ({ reservation }: GatewayExchange, result: EndedResult): boolean =>
  !('neededBytes' in result) ||
  result.neededBytes === undefined ||
  reservation.canGrow(result.neededBytes);

/** Decides whether a request may be sent again after a send that did not answer it. */
export class ResendPolicy {
  private readonly unreachedTries = new UnreachedTries();

  constructor(private readonly retryBudget: FleetRetryBudget) {}

  canSendAgain(exchange: GatewayExchange, progress: RequestProgress, result: EndedResult): boolean {
    if (!hasMemory(exchange, result)) return false;
    if (!progress.sends.isNextFree && !this.retryBudget.canRetry(progress.service)) return false;
    if (result.kind === 'withheld') return progress.sends.withheld < MAX_WITHHELD_SENDS;
    if (exchange.signal.aborted || progress.isSuspect) return false;
    return canHaveArrived(findSendEnd(result))
      ? canRepeat(exchange, progress, result)
      : this.canTryOther(progress, result);
  }

  private canTryOther({ sends }: RequestProgress, result: EndedResult): boolean {
    if (sends.unreached > MAX_UNREACHED_TRIES) return false;
    // Where no connection may be opened, none was; the limit is for upstreams that can't be reached.
    const isOwnLimit =
      result.kind === 'not-run' &&
      ['no-connection', 'no-socket', 'no-path'].includes(result.reason);
    return isOwnLimit || this.unreachedTries.tryTake();
  }
}
