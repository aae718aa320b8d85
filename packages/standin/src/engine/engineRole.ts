import type { Reply, Route, StandInRole } from '../http/index.js';
import { CompletionHandler } from './completionHandler.js';
import type { EngineSettings } from './engineSettings.js';
import { EngineState } from './engineState.js';
import { KvTransferHandler } from './kvTransferHandler.js';
import { LoadReporter } from './loadReporter.js';
import { OrderHandler } from './orderHandler.js';

const neverSettled = new Promise<void>(() => {});

/** Stand-in for a model engine: completions, load reports, cache events and KV transfers. */
export class EngineRole implements StandInRole {
  readonly faults: StandInRole['faults'];

  readonly routes: readonly Route[];

  private readonly state: EngineState;

  constructor(settings: EngineSettings) {
    this.state = new EngineState(settings);
    this.faults = this.state.faults;
    const loadReporter = new LoadReporter(this.state);
    this.routes = [
      ...new CompletionHandler(this.state).routes,
      ...new KvTransferHandler(this.state).routes,
      ...new OrderHandler(this.state).routes,
      {
        method: 'GET',
        path: '/load',
        handle: () => ({ status: 200, body: loadReporter.report() }),
      },
      { method: 'GET', path: '/events', handle: (request) => this.listEvents(request.query) },
      { method: 'GET', path: '/counts', handle: () => this.reportCounts() },
    ];
  }

  async intercept(): Promise<'drop' | undefined> {
    if (this.state.faults.current.hang) await neverSettled;
    return Date.now() < this.state.unavailableUntilMs ? 'drop' : undefined;
  }

  private listEvents(query: URLSearchParams): Reply {
    const page = this.state.events.listVisible(Number(query.get('from') ?? 0));
    return { status: 200, body: { bootId: this.state.bootId, ...page } };
  }

  private reportCounts(): Reply {
    const { counts } = this.state;
    return { status: 200, body: { ...counts, runs: Object.fromEntries(counts.runs) } };
  }
}
