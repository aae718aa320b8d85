import { LeasedOrderPlanner, ORDERS_RESOURCE } from '@goldcrestscale/core';
import type {
  DesiredWeights,
  EngineReport,
  HeldLease,
  LeaseManager,
  LoadOrder,
} from '@goldcrestscale/core';
import { Controller } from '../controller.js';
import type { LoadOrderSender } from './loadOrderSender.js';

const PLAN_INTERVAL_MS = 500;

const SINGLE_VM_LEASE: HeldLease = { epoch: 0, heldSince: { monotonicMs: 0, wallMs: 0 } };

/** Options of the orders controller. */
export interface LoadOrdersOptions {
  /** Absent if this is the only VM, which then needs no lease. */
  readonly leases?: LeaseManager | undefined;
  readonly sender: LoadOrderSender;
  /** Weight version that the configuration table assigns to each engine. */
  readonly listDesiredWeights: () => readonly DesiredWeights[];
  /** Latest report of every engine. */
  readonly listEngineReports: () => readonly EngineReport[];
  /** Maximum rate of loads from the weight store. */
  readonly loadsPerMinute: number;
}

/** Orders engines to load weights while this VM holds the lease for it. */
export class LoadOrdersController extends Controller {
  override readonly name = 'orders';

  private readonly planner: LeasedOrderPlanner;

  private sentCount = 0;

  private failedCount = 0;

  constructor(private readonly options: LoadOrdersOptions) {
    super();
    this.planner = new LeasedOrderPlanner(options.loadsPerMinute);
  }

  override start(signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this.sendPlannedOrders(signal), PLAN_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  override dump(): unknown {
    return {
      isGiver: this.findHeldLease() !== undefined,
      sent: this.sentCount,
      failed: this.failedCount,
    };
  }

  private sendPlannedOrders(signal: AbortSignal): void {
    const { listDesiredWeights, listEngineReports } = this.options;
    const input = {
      lease: this.findHeldLease(),
      desired: listDesiredWeights(),
      engines: listEngineReports(),
    };
    this.planner.plan(input).forEach((order) => {
      this.sendOrder(order, signal).catch(() => {
        // Not retried here: the planner counts the order as a load in progress until the engine's
        // next report.
        this.failedCount += 1;
      });
    });
  }

  private async sendOrder(order: LoadOrder, signal: AbortSignal): Promise<void> {
    const canSend = (): boolean => this.planner.canSend(order, this.findHeldLease());
    await this.options.sender.send(order, canSend, signal);
    this.sentCount += 1;
  }

  private findHeldLease(): HeldLease | undefined {
    const { leases } = this.options;
    return leases ? leases.findHeldLease(ORDERS_RESOURCE) : SINGLE_VM_LEASE;
  }
}
