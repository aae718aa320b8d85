import type { TrackedUpstream } from '../fleet/index.js';
import { MIN_OUT_MS } from './constants.js';
import { UpstreamPace } from './upstreamPace.js';
import type { PaceSenders } from './upstreamPace.js';

/** Dependencies of a sighting. */
export interface SightingOptions {
  readonly findSenders: (upstream: TrackedUpstream) => PaceSenders;
  readonly onChange: (upstream: TrackedUpstream, pace: UpstreamPace, isPaced: boolean) => void;
}

/** What this VM has seen of one upstream that matters to its pace. */
export class UpstreamSighting {
  private startedAtMs: number;

  /** Monotonic time since which it gets no requests; undefined while it does. */
  private outSinceMs: number | undefined;

  private current: UpstreamPace | undefined;

  constructor(
    private readonly upstream: TrackedUpstream,
    private readonly options: SightingOptions,
  ) {
    this.startedAtMs = upstream.registered.startedAtMs;
  }

  get pace(): UpstreamPace | undefined {
    return this.current;
  }

  /** Whether it carries what requests come, neither out nor paced. */
  get isCarrying(): boolean {
    return !this.current && this.outSinceMs === undefined;
  }

  /**
   * @param isOut whether it gets no requests now
   * @param getMeanLoad gives the mean load of the other upstreams, in requests
   */
  observe(isOut: boolean, getMeanLoad: () => number): void {
    const nowMs = performance.now();
    const { startedAtMs } = this.upstream.registered;
    if (isOut) {
      this.outSinceMs ??= nowMs;
      this.finish();
      return;
    }
    const outMs = this.outSinceMs === undefined ? 0 : nowMs - this.outSinceMs;
    this.outSinceMs = undefined;
    if (startedAtMs !== this.startedAtMs || outMs >= MIN_OUT_MS) this.begin();
    this.startedAtMs = startedAtMs;
    if (this.current?.advance(getMeanLoad)) this.finish();
  }

  /** Begins a pace, anew if there is one. */
  begin(): void {
    const isPaced = this.current !== undefined;
    this.current = new UpstreamPace(this.upstream, () => this.options.findSenders(this.upstream));
    if (!isPaced) this.options.onChange(this.upstream, this.current, true);
  }

  private finish(): void {
    const pace = this.current;
    this.current = undefined;
    if (pace) this.options.onChange(this.upstream, pace, false);
  }
}
