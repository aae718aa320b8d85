import { setTimeout as sleep } from 'node:timers/promises';
import { LogError, MemoryLog, toLogOffset } from '@goldcrestscale/core';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, RouteRequest, StandInRole } from '../http/index.js';
import { AppendLimiter } from './appendLimiter.js';

const DEFAULT_APPENDS_PER_SECOND = 400;
const DEFAULT_LATE_APPEND_DELAY_MS = 1000;

const defaultFaults = {
  outage: false,
  delayMs: 0,
  loseAppendAnswers: 0,
  appendsPerSecond: DEFAULT_APPENDS_PER_SECOND,
  /** Age at which records are trimmed; 0 keeps all records. */
  retentionMs: 0,
  /** Offset before which every stream is trimmed. */
  trimBefore: 0,
  lateAppends: 0,
  lateMs: DEFAULT_LATE_APPEND_DELAY_MS,
};

/** Faults of the log. */
export type LogFaults = typeof defaultFaults;

const parseCount = (text: string | null, fallback: number): number => {
  const value = Number(text ?? fallback);
  return Number.isSafeInteger(value) && value >= 0 ? value : fallback;
};

/** Stand-in for the platform's append-only log, with streams of JSON records in memory. */
export class LogRole implements StandInRole {
  readonly faults = new FaultSet<LogFaults>(defaultFaults, () => this.trimAll());

  readonly routes: readonly Route[] = [
    { method: 'POST', path: '/streams/:name/records', handle: (request) => this.append(request) },
    { method: 'GET', path: '/streams/:name/records', handle: (request) => this.read(request) },
    { method: 'GET', path: '/streams/:name', handle: (request) => this.describe(request) },
    { method: 'GET', path: '/counts', handle: () => ({ status: 200, body: this.counts }) },
  ];

  private readonly streams = new Map<string, MemoryLog>();

  private readonly limiter = new AppendLimiter();

  private readonly counts = { appends: 0, records: 0, reads: 0, refused: 0 };

  async intercept(): Promise<Reply | undefined> {
    const { delayMs, outage } = this.faults.current;
    if (delayMs > 0) await sleep(delayMs);
    return outage ? buildErrorReply(503, 'outage') : undefined;
  }

  private ensureStream(name: string): MemoryLog {
    const stream = this.streams.get(name) ?? new MemoryLog();
    this.streams.set(name, stream);
    return stream;
  }

  private async append(request: RouteRequest): Promise<Reply | undefined> {
    const { records } = request.readJson();
    if (!Array.isArray(records) || records.length === 0) return buildErrorReply(400, 'records');
    if (!this.limiter.tryAcquire(this.faults.current.appendsPerSecond)) {
      this.counts.refused += 1;
      return buildErrorReply(429, 'append_limit', { 'retry-after': '1' });
    }
    const name = request.params.name ?? '';
    if (this.faults.consume('lateAppends')) {
      setTimeout(() => {
        this.appendRecords(name, records).catch(() => undefined);
      }, this.faults.current.lateMs);
      request.drop();
      return undefined;
    }
    const firstOffset = await this.appendRecords(name, records);
    if (this.faults.consume('loseAppendAnswers')) {
      request.drop();
      return undefined;
    }
    return { status: 200, body: { firstOffset } };
  }

  private async appendRecords(name: string, records: readonly unknown[]): Promise<number> {
    this.counts.appends += 1;
    this.counts.records += records.length;
    const firstOffset = await this.ensureStream(name).append(records);
    this.trimAll();
    return firstOffset;
  }

  private async read(request: RouteRequest): Promise<Reply> {
    this.counts.reads += 1;
    this.trimAll();
    const fromOffset = toLogOffset(parseCount(request.query.get('from'), 0));
    const options = {
      limit: parseCount(request.query.get('limit'), 1000),
      waitMs: parseCount(request.query.get('waitMs'), 0),
      signal: request.signal,
    };
    try {
      const page = await this.ensureStream(request.params.name ?? '').read(fromOffset, options);
      return this.faults.current.outage
        ? buildErrorReply(503, 'outage')
        : { status: 200, body: page };
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      const { firstOffset } = error;
      return { status: 410, body: { firstOffset, error: { code: 'trimmed' } } };
    }
  }

  private async describe(request: RouteRequest): Promise<Reply> {
    const stream = this.streams.get(request.params.name ?? '');
    if (!stream) return { status: 200, body: { headOffset: 0, firstOffset: 0 } };
    const { headOffset, firstOffset } = await stream.read(stream.headOffset);
    return { status: 200, body: { headOffset, firstOffset } };
  }

  private trimAll(): void {
    const { retentionMs, trimBefore } = this.faults.current;
    for (const stream of this.streams.values()) {
      if (trimBefore > 0) stream.trim(toLogOffset(trimBefore));
      if (retentionMs > 0) stream.trimOlderThan(Date.now() - retentionMs);
    }
  }
}
