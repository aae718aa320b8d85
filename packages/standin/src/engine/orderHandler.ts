import { setTimeout as sleep } from 'node:timers/promises';
import { request as fetchHttp } from 'undici';
import { z } from 'zod';
import { buildErrorReply } from '../http/index.js';
import type { Reply, Route, RouteRequest } from '../http/index.js';
import type { EngineState } from './engineState.js';

const LOAD_RETRY_DELAY_MS = 200;
const MAX_LOAD_ATTEMPTS = 20;

const orderSchema = z.object({
  type: z.enum(['load', 'unload', 'role']),
  model: z.string(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
  fencing: z.number().int().min(0),
});

type Order = z.output<typeof orderSchema>;

/** Handles orders to load or unload weights and adapters, and to change the role. */
export class OrderHandler {
  readonly routes: readonly Route[] = [
    { method: 'POST', path: '/orders', handle: (request) => this.acceptOrder(request) },
  ];

  private highestFencingNumber = -1;

  private activeLoads = 0;

  constructor(private readonly state: EngineState) {}

  private acceptOrder(request: RouteRequest): Reply {
    const order = orderSchema.parse(request.readJson());
    const { counts, settings } = this.state;
    if (settings.checksFencing && order.fencing < this.highestFencingNumber) {
      counts.ordersRefused += 1;
      return buildErrorReply(409, 'old_fencing');
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencing);
    counts.ordersAccepted += 1;
    this.applyOrder(order);
    return { status: 202, body: { accepted: true } };
  }

  private applyOrder(order: Order): void {
    if (order.type === 'role') this.state.role = order.role ?? this.state.role;
    else if (order.type === 'load') this.loadWeights(order).catch(() => undefined);
    else if (order.adapter) this.state.adapters.delete(order.adapter);
    else this.state.setModel('', '');
  }

  private async loadWeights(order: Order): Promise<void> {
    const { state } = this;
    const { bootId, settings } = state;
    this.activeLoads += 1;
    state.loading = true;
    try {
      await this.fetchWeights(order);
      await sleep(settings.weightLoadMs);
      if (bootId !== state.bootId) return;
      if (order.adapter) state.adapters.add(order.adapter);
      else state.setModel(order.model, order.version ?? state.weightVersion);
    } finally {
      this.activeLoads -= 1;
      state.loading = this.activeLoads > 0;
    }
  }

  private async fetchWeights({ model, version }: Order): Promise<void> {
    const { weightStoreUrl } = this.state.settings;
    if (!weightStoreUrl) return;
    const url = `${weightStoreUrl}/weights/${model}/${version ?? this.state.weightVersion}`;
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt += 1) {
      const { statusCode, headers, body } = await fetchHttp(url);
      await body.dump();
      if (statusCode === 200) return;
      const retryAfterMs = Number(headers['retry-after'] ?? 0) * 1000;
      await sleep(retryAfterMs || LOAD_RETRY_DELAY_MS);
    }
    throw new Error('could not load weights from the weight store');
  }
}
