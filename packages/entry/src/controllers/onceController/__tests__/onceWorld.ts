import {
  LogError,
  LogStream,
  MemoryLog,
  createError,
  createGenerator,
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
  OnceGuard,
  OnceWindow,
  RandomGenerator,
  Verdict,
  VmId,
} from '@goldcrestscale/core';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { vi } from 'vitest';
import type { AnswerWriter, Exchange } from '../../../filters/exchange.js';
import { OnceFilter } from '../../../filters/onceFilter.js';
import { MemoryNetwork } from '../../../mesh/index.js';
import type { PeerLink } from '../../../mesh/index.js';
import { OnceController } from '../onceController.js';

/** Several entry VMs, a log and a plain service in one process, with faults at any step. */

export type Fault =
  'none' | 'killBefore' | 'killAfter' | 'freeze' | 'loseAnswer' | 'refuse' | 'lateEffect';

/** A fault at one step, counted from 0 over all VMs. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly step: number;
}

export interface CallerAnswer {
  readonly verdict: Verdict | 'none';
  readonly status: number;
  readonly code?: string;
  readonly retryAfterMs?: number;
  readonly body: string;
}

export interface WorldOptions {
  readonly vms?: number;
  readonly window?: OnceWindow;
  /** Longest time that a step takes, in milliseconds; drawn at random. @default fixed times */
  readonly jitterMs?: number;
  readonly seed?: number;
  /** Makes the guard of a VM; the naive checks put their own here. */
  readonly createGuard?: (vm: SimulatedVm) => OnceGuard;
}

export interface CallerRequest {
  readonly key?: IdempotencyKey;
  readonly account?: string;
  readonly body?: string;
  readonly ref?: string;
}

const FREEZE_MS = 25_000;
const LATE_MS = 4_000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
const never = (): Promise<never> =>
  new Promise(() => {
    // A dead process never goes on.
  });

/** Stream of one VM: each call is a step at which the plan's fault may happen. */
class SteppedStream extends LogStream {
  constructor(
    private readonly vm: SimulatedVm,
    private readonly log: MemoryLog,
  ) {
    super();
  }

  override append(values: readonly unknown[]): Promise<LogOffset> {
    return this.vm.runStep(async () => {
      if (this.vm.world.logDown) throw new LogError('503', 'refused');
      await pause(2);
      return this.log.append(values);
    }, true);
  }

  override read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    return this.vm.runStep(async () => {
      if (this.vm.world.logDown) throw new LogError('503', 'refused');
      const page = await this.log.read(from, options);
      await pause(1);
      return page;
    }, false);
  }
}

export class SimulatedVm {
  readonly closing = new AbortController();

  readonly link: PeerLink;

  readonly controller: OnceController;

  readonly filter: OnceFilter;

  dead = false;

  frozenUntilMs = 0;

  constructor(
    readonly world: OnceWorld,
    readonly vmId: VmId,
    options: WorldOptions,
  ) {
    const bootId = toId<BootId>(`${vmId}-boot-${world.nextBoot()}`);
    this.link = world.network.join({ vmId, bootId });
    this.controller = new OnceController({
      link: this.link,
      shardCount: 1,
      openStream: () => new SteppedStream(this, world.log),
      generator: createGenerator(1),
      listEntryVms: () => world.vmIds,
      ...(options.window ? { window: options.window } : {}),
    });
    const guard = options.createGuard?.(this) ?? this.controller.guard;
    this.filter = new OnceFilter({ guard });
  }

  kill(): void {
    this.dead = true;
    this.closing.abort();
    this.world.network.remove(this.vmId);
  }

  /** Does one thing outside the VM, with the planned fault if this is its step. */
  async runStep<Value>(effect: () => Promise<Value>, isAppend: boolean): Promise<Value> {
    await this.waitUntilRunning();
    const fault = this.world.takeFault();
    if (fault === 'killBefore') this.kill();
    if (fault === 'freeze') this.frozenUntilMs = Date.now() + FREEZE_MS;
    await this.waitUntilRunning();
    if (fault === 'refuse' && isAppend) throw new LogError('429', 'refused');
    if (fault === 'lateEffect' && isAppend) {
      setTimeout(() => {
        effect().catch(() => undefined);
      }, LATE_MS);
      throw new LogError('cut', 'unknown');
    }
    await this.world.sleepAtRandom();
    const value = await effect();
    await this.world.sleepAtRandom();
    if (fault === 'killAfter') this.kill();
    await this.waitUntilRunning();
    if (fault === 'loseAnswer' && isAppend) throw new LogError('cut', 'unknown');
    return value;
  }

  private async waitUntilRunning(): Promise<void> {
    if (this.dead) await never();
    const waitMs = this.frozenUntilMs - Date.now();
    if (waitMs > 0) await pause(waitMs);
    if (this.dead) await never();
  }
}

const createExchange = (request: CallerRequest, answer: AnswerWriter): Exchange => ({
  requestId: toId('request'),
  method: 'POST',
  headers: request.key ? { 'idempotency-key': request.key } : {},
  body: Buffer.from(request.body ?? 'body'),
  target: { kind: 'service', service: 'tickets', path: '/tickets' },
  answer,
  signal: new AbortController().signal,
  receivedAtMs: Date.now(),
  deadlineAtMs: Date.now() + 10_000,
  account: {
    kind: 'account',
    id: request.account ?? 'yard',
    keyHashes: [],
    weight: 1,
  } as unknown as ClientAccountRow,
  idempotent: false,
  assertSendable: () => undefined,
  verdict: 'not-run',
});

export class OnceWorld {
  readonly log = new MemoryLog();

  readonly network = new MemoryNetwork();

  readonly vmIds: VmId[] = [];

  readonly vms: SimulatedVm[] = [];

  /** What the service really ran, by the body's reference. */
  readonly runs = new Map<string, number>();

  /** References that one exchange sent although its caller was told that it did not run. */
  readonly lies: string[] = [];

  logDown = false;

  serviceFault: 'none' | 'loseAnswer' | 'resetBeforeRun' = 'none';

  stepCount = 0;

  private boots = 0;

  private readonly generator: RandomGenerator;

  constructor(
    private readonly plan: readonly PlannedFault[] = [],
    private readonly options: WorldOptions = {},
  ) {
    this.generator = createGenerator(options.seed ?? 1);
    const count = options.vms ?? 2;
    for (let index = 0; index < count; index += 1) this.vmIds.push(toId<VmId>(`vm-${index}`));
    this.vmIds.forEach((vmId) => this.startVm(vmId));
  }

  nextBoot(): number {
    this.boots += 1;
    return this.boots;
  }

  /** Starts a VM, or a new run of one that was killed. */
  startVm(vmId: VmId): SimulatedVm {
    const vm = new SimulatedVm(this, vmId, this.options);
    void vm.controller.start(vm.closing.signal);
    this.vms[this.vmIds.indexOf(vmId)] = vm;
    return vm;
  }

  async sleepAtRandom(): Promise<void> {
    const { jitterMs = 0 } = this.options;
    if (jitterMs > 0) await pause(uniformInt(this.generator, 0, jitterMs));
  }

  takeFault(): Fault {
    const step = this.stepCount;
    this.stepCount += 1;
    return this.plan.find((planned) => planned.step === step)?.fault ?? 'none';
  }

  /** Sends a request to one VM as a caller does; a VM that dies gives no verdict. */
  async send(vmIndex: number, request: CallerRequest): Promise<CallerAnswer> {
    const vm = this.vms[vmIndex];
    if (!vm || vm.dead) return { verdict: 'not-run', status: 0, body: 'no connection' };
    const died = new Promise<CallerAnswer>((resolve) => {
      const cut = (): void => resolve({ verdict: 'none', status: 0, body: 'cut' });
      vm.closing.signal.addEventListener('abort', cut, { once: true });
    });
    return Promise.race([this.handle(vm, request), died]);
  }

  stop(): void {
    this.vms.forEach((vm) => vm.kill());
  }

  private async handle(vm: SimulatedVm, request: CallerRequest): Promise<CallerAnswer> {
    const chunks: string[] = [];
    let status = 0;
    const answer: AnswerWriter = {
      headSent: false,
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
      if (verdict === 'not-run' && sent) this.lies.push(request.ref ?? '');
      const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
      return { verdict, code, status: error.status, body: error.message, ...retry };
    }
  }

  /** Dispatch filter and service in one; the service ignores keys. */
  private async dispatch(
    vm: SimulatedVm,
    exchange: Exchange,
    { ref = 'ref' }: CallerRequest,
    onSent: () => void,
  ): Promise<void> {
    exchange.assertSendable();
    const text = await vm.runStep(async () => {
      if (this.serviceFault === 'resetBeforeRun') {
        throw createError('not reached', {
          code: 'upstream_failed',
          status: 502,
          verdict: 'not-run',
        });
      }
      await pause(1);
      this.runs.set(ref, (this.runs.get(ref) ?? 0) + 1);
      onSent();
      await pause(5);
      if (this.serviceFault === 'loseAnswer') {
        const facts = { code: 'upstream_failed', status: 502, verdict: 'may-have-run' } as const;
        throw createError('answer lost', facts);
      }
      return `ticket ${ref}`;
    }, false);
    exchange.verdict = 'ran';
    exchange.answer.writeHead(201, { 'content-type': 'text/plain' });
    await exchange.answer.write(text);
    exchange.answer.finish();
  }
}

/** Advances the paused clock until a promise settles. */
export const settleIn = async <Value>(
  pending: Promise<Value>,
  limitMs = 60_000,
): Promise<Value> => {
  let settled = false;
  const watched = pending.finally(() => {
    settled = true;
  });
  watched.catch(() => undefined);
  for (let atMs = 0; atMs < limitMs && !settled; atMs += 100) {
    await vi.advanceTimersByTimeAsync(100);
  }
  return watched;
};
