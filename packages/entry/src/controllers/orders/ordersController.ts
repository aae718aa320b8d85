import { LeasedOrderPlanner, ORDERS_RESOURCE } from '@goldcrestscale/core';
import type {
  DesiredWeights,
  EngineReport,
  HeldLease,
  LeaseKeeper,
  LoadOrder,
} from '@goldcrestscale/core';
import { Controller } from '../controller.js';
import type { OrderSender } from './orderSender.js';

const PLAN_INTERVAL_MS = 500;

const ONLY_VM: HeldLease = { epoch: 0, heldSince: { monotonicMs: 0, wallMs: 0 } };

/** What the orders controller needs. */
export interface OrdersOptions {
  /** Absent where this is the only VM. */
  readonly leases?: LeaseKeeper | undefined;
  readonly sender: OrderSender;
  /** Weights that the table wants on each engine. */
  readonly listDesired: () => readonly DesiredWeights[];
  /** Newest report of every engine of the fleet. */
  readonly listEngines: () => readonly EngineReport[];
  /** Rate of the weight store. */
  readonly loadsPerMinute: number;
}

/** Gives orders to load weights while this VM holds the lease for it. */
export class OrdersController extends Controller {
  override readonly name = 'orders';

  private readonly planner: LeasedOrderPlanner;

  private sent = 0;

  private failed = 0;

  constructor(private readonly options: OrdersOptions) {
    super();
    this.planner = new LeasedOrderPlanner(options.loadsPerMinute);
  }

  override start(signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this.runStep(signal), PLAN_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  override dump(): unknown {
    return { isGiver: this.findHeld() !== undefined, sent: this.sent, failed: this.failed };
  }

  private runStep(signal: AbortSignal): void {
    const { listDesired, listEngines } = this.options;
    const input = { held: this.findHeld(), desired: listDesired(), engines: listEngines() };
    this.planner.plan(input).forEach((order) => {
      this.sendOrder(order, signal).catch(() => {
        // The planner counts the order as a load until the engine has been read back.
        this.failed += 1;
      });
    });
  }

  private async sendOrder(order: LoadOrder, signal: AbortSignal): Promise<void> {
    const canSend = (): boolean => this.planner.canSend(order, this.findHeld());
    await this.options.sender.send(order, canSend, signal);
    this.sent += 1;
  }

  private findHeld(): HeldLease | undefined {
    const { leases } = this.options;
    return leases ? leases.findHeld(ORDERS_RESOURCE) : ONLY_VM;
  }
}
