import { createRefusal } from '@goldcrestscale/core';
import { computeCallerDeadlineMs } from '@goldcrestscale/runtime';
import { createDeadlineError } from '../dispatch/deadline.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

const DEADLINE_HEADER = 'x-deadline-ms';

const parseDeadlineMs = (exchange: Exchange): number => {
  const header = exchange.headers[DEADLINE_HEADER];
  if (header === undefined) return Infinity;
  const deadlineMs = Number(header);
  if (Number.isFinite(deadlineMs) && deadlineMs > 0) return deadlineMs;
  throw createRefusal(`${DEADLINE_HEADER} must be a positive number of milliseconds.`, {
    code: 'bad_request',
    status: 400,
  });
};

/** Sets the deadline for the start of the response: the workload's, or the caller's if earlier. */
export class DeadlineFilter extends Filter {
  override readonly name = 'deadline';

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const workloadDeadlineMs = exchange.workload?.deadlineMs ?? Infinity;
    const requestedDeadlineMs = parseDeadlineMs(exchange);
    const allowedMs = Math.min(workloadDeadlineMs, requestedDeadlineMs);
    const deadlineAtMs = computeCallerDeadlineMs(exchange, allowedMs);
    const { assertSendable } = exchange;
    exchange.deadlineAtMs = deadlineAtMs;
    exchange.assertSendable = () => {
      assertSendable();
      // After a pause of the process, the deadline may have passed before its timer runs.
      const isOver = !exchange.response.isHeadSent && performance.now() >= deadlineAtMs;
      if (isOver) throw createDeadlineError('not-run');
    };
    // The body may have ended after the deadline.
    exchange.assertSendable();
    await next();
  }
}
