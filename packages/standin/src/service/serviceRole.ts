import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, RouteRequest, StandInRole } from '../http/index.js';

const defaultFaults = { loseAnswers: 0, resetBeforeRun: 0, delayMs: 0, restart: false };

/** Faults of the plain service. */
export type ServiceFaults = typeof defaultFaults;

/** Settings of the plain service. */
export interface ServiceSettings {
  readonly maxConcurrent: number;
  readonly coldConcurrent: number;
  /** Number of completed calls after which the service is warm. */
  readonly coldCompletions: number;
  /** Processing time of one call, in milliseconds. */
  readonly workMs: number;
}

interface RecordedCall {
  readonly id: string;
  readonly echo: unknown;
}

/** Stand-in for a plain service with idempotent and non-idempotent calls; counts its executions. */
export class ServiceRole implements StandInRole {
  readonly faults = new FaultSet<ServiceFaults>(defaultFaults, (faults) => {
    if (!faults.restart) return;
    this.faults.set('restart', false);
    this.restart();
  });

  readonly routes: readonly Route[] = [
    { method: 'POST', path: '/tickets', handle: (request) => this.create(request) },
    { method: 'POST', path: '/bookings', handle: (request) => this.create(request) },
    { method: 'GET', path: '/tickets/:id', handle: (request) => this.findTicket(request) },
    { method: 'GET', path: '/stock/:item', handle: (request) => this.checkStock(request) },
    { method: 'GET', path: '/load', handle: () => this.reportLoad() },
    {
      method: 'GET',
      path: '/counts',
      handle: () => ({
        status: 200,
        body: { runs: Object.fromEntries(this.runs), falls: this.crashCount },
      }),
    },
  ];

  private bootId: string = randomUUID();

  private completed = 0;

  private running = 0;

  private crashCount = 0;

  private readonly calls = new Map<string, RecordedCall>();

  private readonly runs = new Map<string, number>();

  constructor(private readonly settings: ServiceSettings) {}

  private async create(request: RouteRequest): Promise<Reply | undefined> {
    return this.run(request, () => {
      const echo = request.readJson();
      const ref = String(echo.ref ?? '');
      this.runs.set(ref, (this.runs.get(ref) ?? 0) + 1);
      const call = { id: randomUUID(), echo };
      this.calls.set(call.id, call);
      return { status: 201, body: call };
    });
  }

  private findTicket(request: RouteRequest): Promise<Reply | undefined> {
    return this.run(request, () => {
      const call = this.calls.get(request.params.id ?? '');
      return call ? { status: 200, body: call } : buildErrorReply(404, 'not_found');
    });
  }

  private checkStock(request: RouteRequest): Promise<Reply | undefined> {
    const item = request.params.item ?? '';
    return this.run(request, () => ({
      status: 200,
      body: { item, inStock: item.length % 2 === 0 },
    }));
  }

  private async run(request: RouteRequest, work: () => Reply): Promise<Reply | undefined> {
    if (this.faults.consume('resetBeforeRun')) {
      request.drop();
      return undefined;
    }
    if (this.cold && this.running >= this.settings.coldConcurrent) {
      this.crashCount += 1;
      this.restart();
      request.drop();
      return undefined;
    }
    const { bootId } = this;
    this.running += 1;
    const reply = work();
    await sleep(this.settings.workMs + this.faults.current.delayMs);
    if (bootId === this.bootId) {
      this.running -= 1;
      this.completed += 1;
    }
    if (bootId !== this.bootId || this.faults.consume('loseAnswers')) {
      request.drop();
      return undefined;
    }
    return reply;
  }

  private get cold(): boolean {
    return this.completed < this.settings.coldCompletions;
  }

  /** Restarts the service cold under a new boot id and drops the running calls. */
  private restart(): void {
    this.bootId = randomUUID();
    this.completed = 0;
    this.running = 0;
  }

  private reportLoad(): Reply {
    const { maxConcurrent, coldConcurrent } = this.settings;
    return {
      status: 200,
      body: {
        bootId: this.bootId,
        state: 'serving',
        cold: this.cold,
        running: this.running,
        waiting: 0,
        maxConcurrent,
        coldConcurrent,
        ageMs: 0,
      },
    };
  }
}
