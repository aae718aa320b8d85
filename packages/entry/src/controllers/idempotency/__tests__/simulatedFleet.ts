import {
  LogError,
  LogStream,
  MemoryLog,
  createError,
  createRandomGenerator,
  isGoldcrestError,
  toId,
} from '@goldcrestscale/core';
import type {
  BootId,
  ClientAccountRow,
  IdempotencyKey,
  LogOffset,
  LogPage,
  LogReadOptions,
  IdempotencyGuard,
  IdempotencyWindow,
  RandomGenerator,
  Verdict,
  VmId,
} from '@goldcrestscale/core';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { vi } from 'vitest';
import type { ResponseWriter, Exchange } from '../../../filters/exchange.js';
import { IdempotencyFilter } from '../../../filters/idempotencyFilter.js';
import { MemoryNetwork } from '../../../mesh/index.js';
import type { PeerTransport } from '../../../mesh/index.js';
import { IdempotencyController } from '../idempotencyController.js';

/** Simulation of several entry VMs, a log and a plain service, with faults injected at any step. */

export type Fault =
  'none' | 'killBefore' | 'killAfter' | 'pause' | 'loseResponse' | 'refuse' | 'lateEffect';

/** Fault at one step; steps are counted from 0 over all VMs. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly step: number;
}

export interface ClientResponse {
  readonly verdict: Verdict | 'none';
  readonly status: number;
  readonly code?: string;
  readonly retryAfterMs?: number;
  readonly body: string;
}

export interface FleetOptions {
  readonly vmCount?: number;
  readonly window?: IdempotencyWindow;
  /** Maximum random delay before and after each step, in milliseconds. @default no delay */
  readonly jitterMs?: number;
  readonly seed?: number;
  /** Creates the guard of a VM; used to test naive guards. @default the guard of its controller */
  readonly createGuard?: (vm: SimulatedVm) => IdempotencyGuard;
}

export interface ClientRequest {
  readonly key?: IdempotencyKey;
  readonly account?: string;
  readonly body?: string;
  readonly ref?: string;
}

const PAUSE_DURATION_MS = 25_000;
const LATE_EFFECT_DELAY_MS = 4_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
const waitForever = (): Promise<never> =>
  new Promise(() => {
    // A killed process never continues.
  });

/** Log stream of one VM; each call is a step at which a planned fault can occur. */
class StepLogStream extends LogStream {
  constructor(
    private readonly vm: SimulatedVm,
    private readonly log: MemoryLog,
  ) {
    super();
  }

  override append(values: readonly unknown[]): Promise<LogOffset> {
    return this.vm.runStep(async () => {
      if (this.vm.fleet.isLogDown) throw new LogError('log unavailable', 'refused');
      await sleep(2);
      return this.log.append(values);
    }, true);
  }

  override read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    return this.vm.runStep(async () => {
      if (this.vm.fleet.isLogDown) throw new LogError('log unavailable', 'refused');
      const page = await this.log.read(from, options);
      await sleep(1);
      return page;
    }, false);
  }
}

export class SimulatedVm {
  readonly closeController = new AbortController();

  readonly link: PeerTransport;

  readonly controller: IdempotencyController;

  readonly filter: IdempotencyFilter;

  isKilled = false;

  pausedUntilMs = 0;

  constructor(
    readonly fleet: SimulatedFleet,
    readonly vmId: VmId,
    options: FleetOptions,
  ) {
    const bootId = toId<BootId>(`${vmId}-boot-${fleet.nextBootNumber()}`);
    this.link = fleet.network.join({ vmId, bootId });
    this.controller = new IdempotencyController({
      link: this.link,
      shardCount: 1,
      openStream: () => new StepLogStream(this, fleet.log),
      generator: createRandomGenerator(1),
      listEntryVms: () => fleet.vmIds,
      ...(options.window ? { window: options.window } : {}),
    });
    const guard = options.createGuard?.(this) ?? this.controller.guard;
    this.filter = new IdempotencyFilter({ guard });
  }

  kill(): void {
    this.isKilled = true;
    this.closeController.abort();
    this.fleet.network.remove(this.vmId);
  }

  /** Runs one external effect of the VM as a step, with the fault planned for it. */
  async runStep<Value>(effect: () => Promise<Value>, isAppend: boolean): Promise<Value> {
    await this.waitUntilRunning();
    const fault = this.fleet.takeFault();
    if (fault === 'killBefore') this.kill();
    if (fault === 'pause') this.pausedUntilMs = Date.now() + PAUSE_DURATION_MS;
    await this.waitUntilRunning();
    if (fault === 'refuse' && isAppend) throw new LogError('append rate limit exceeded', 'refused');
    if (fault === 'lateEffect' && isAppend) {
      setTimeout(() => {
        effect().catch(() => undefined);
      }, LATE_EFFECT_DELAY_MS);
      throw new LogError('log response lost', 'unknown');
    }
    await this.fleet.sleepForJitter();
    const value = await effect();
    await this.fleet.sleepForJitter();
    if (fault === 'killAfter') this.kill();
    await this.waitUntilRunning();
    if (fault === 'loseResponse' && isAppend) throw new LogError('log response lost', 'unknown');
    return value;
  }

  private async waitUntilRunning(): Promise<void> {
    if (this.isKilled) await waitForever();
    const waitMs = this.pausedUntilMs - Date.now();
    if (waitMs > 0) await sleep(waitMs);
    if (this.isKilled) await waitForever();
  }
}

const createExchange = (request: ClientRequest, answer: ResponseWriter): Exchange => ({
  requestId: toId('request'),
  method: 'POST',
  headers: request.key ? { 'idempotency-key': request.key } : {},
  body: Buffer.from(request.body ?? 'body'),
  target: { kind: 'service', service: 'tickets', path: '/tickets' },
  response: answer,
  signal: new AbortController().signal,
  receivedAtMs: performance.now(),
  readAtMs: performance.now(),
  deadlineAtMs: performance.now() + 10_000,
  account: {
    kind: 'account',
    id: request.account ?? 'account-a',
    keyHashes: [],
    weight: 1,
  } as unknown as ClientAccountRow,
  isIdempotent: false,
  assertSendable: () => undefined,
  verdict: 'not-run',
});

export class SimulatedFleet {
  readonly log = new MemoryLog();

  readonly network = new MemoryNetwork();

  readonly vmIds: VmId[] = [];

  readonly vms: SimulatedVm[] = [];

  /** Number of executions at the service, by request reference. */
  readonly runCounts = new Map<string, number>();

  /** References of requests that an exchange sent although it reported `not-run`. */
  readonly falseNotRunRefs: string[] = [];

  isLogDown = false;

  serviceFault: 'none' | 'loseResponse' | 'resetBeforeRun' = 'none';

  stepCount = 0;

  private bootCount = 0;

  private readonly generator: RandomGenerator;

  constructor(
    private readonly plannedFaults: readonly PlannedFault[] = [],
    private readonly options: FleetOptions = {},
  ) {
    this.generator = createRandomGenerator(options.seed ?? 1);
    const count = options.vmCount ?? 2;
    for (let index = 0; index < count; index += 1) this.vmIds.push(toId<VmId>(`vm-${index}`));
    this.vmIds.forEach((vmId) => this.startVm(vmId));
  }

  nextBootNumber(): number {
    this.bootCount += 1;
    return this.bootCount;
  }

  /** Starts a VM, or restarts one that was killed. */
  startVm(vmId: VmId): SimulatedVm {
    const vm = new SimulatedVm(this, vmId, this.options);
    void vm.controller.start(vm.closeController.signal);
    this.vms[this.vmIds.indexOf(vmId)] = vm;
    return vm;
  }

  async sleepForJitter(): Promise<void> {
    const { jitterMs = 0 } = this.options;
    if (jitterMs > 0) await sleep(uniformInt(this.generator, 0, jitterMs));
  }

  takeFault(): Fault {
    const step = this.stepCount;
    this.stepCount += 1;
    return this.plannedFaults.find((planned) => planned.step === step)?.fault ?? 'none';
  }

  /**
   * Sends a request to a VM as a client would; there is no verdict if the VM is killed meanwhile.
   */
  async send(vmIndex: number, request: ClientRequest): Promise<ClientResponse> {
    const vm = this.vms[vmIndex];
    if (!vm || vm.isKilled) return { verdict: 'not-run', status: 0, body: 'no connection' };
    const killed = new Promise<ClientResponse>((resolve) => {
      const onAbort = (): void => resolve({ verdict: 'none', status: 0, body: 'VM was killed' });
      vm.closeController.signal.addEventListener('abort', onAbort, { once: true });
    });
    return Promise.race([this.handle(vm, request), killed]);
  }

  stop(): void {
    this.vms.forEach((vm) => vm.kill());
  }

  private async handle(vm: SimulatedVm, request: ClientRequest): Promise<ClientResponse> {
    const chunks: string[] = [];
    let status = 0;
    const answer: ResponseWriter = {
      isHeadSent: false,
      writeHead: (code) => {
        status = code;
      },
      write: async (chunk) => {
        chunks.push(Buffer.from(chunk).toString());
      },
      finish: () => undefined,
    };
    const exchange = createExchange(request, answer);
    let sent = false;
    try {
      await vm.filter.handle(exchange, () =>
        this.dispatch(vm, exchange, request, () => {
          sent = true;
        }),
      );
      await vm.runStep(async () => undefined, false);
      return { verdict: 'ran', status, body: chunks.join('') };
    } catch (error) {
      if (!isGoldcrestError(error)) throw error;
      const { verdict, code, retryAfterMs } = error;
      if (verdict === 'not-run' && sent) this.falseNotRunRefs.push(request.ref ?? '');
      const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
      return { verdict, code, status: error.status, body: error.message, ...retry };
    }
  }

  /** Stands in for the dispatch filter and the service; the service ignores idempotency keys. */
  private async dispatch(
    vm: SimulatedVm,
    exchange: Exchange,
    { ref = 'ref' }: ClientRequest,
    onSent: () => void,
  ): Promise<void> {
    exchange.assertSendable();
    const body = await vm.runStep(async () => {
      if (this.serviceFault === 'resetBeforeRun') {
        throw createError('not reached', {
          code: 'upstream_failed',
          status: 502,
          verdict: 'not-run',
        });
      }
      await sleep(1);
      this.runCounts.set(ref, (this.runCounts.get(ref) ?? 0) + 1);
      onSent();
      await sleep(5);
      if (this.serviceFault === 'loseResponse') {
        const errorOptions = {
          code: 'upstream_failed',
          status: 502,
          verdict: 'may-have-run',
        } as const;
        throw createError('response lost', errorOptions);
      }
      return `ticket ${ref}`;
    }, false);
    exchange.verdict = 'ran';
    exchange.response.writeHead(201, { 'content-type': 'text/plain' });
    await exchange.response.write(body);
    exchange.response.finish();
  }
}

/** Advances the fake timers until a promise settles. */
export const advanceUntilSettled = async <Value>(
  pending: Promise<Value>,
  timeoutMs = 60_000,
): Promise<Value> => {
  let settled = false;
  const watched = pending.finally(() => {
    settled = true;
  });
  watched.catch(() => undefined);
  for (let elapsedMs = 0; elapsedMs < timeoutMs && !settled; elapsedMs += 100) {
    await vi.advanceTimersByTimeAsync(100);
  }
  return watched;
};
