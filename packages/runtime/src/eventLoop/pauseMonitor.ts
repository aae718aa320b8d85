/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Delay of a check from which the process counts as having stood still, in milliseconds. */
const MIN_PAUSE_MS = 100;

/** Turns of the event loop that read the requests of a pause: accept connections, and read them. */
const READ_TURNS = 2;

/** Turns after those in which the ends of these connections are read. */
const END_TURNS = 1;

/** Event counts by name. */
export type EventCounts = Readonly<Record<string, number>>;

/** A span in which the process handled no events: stopped, suspended or busy. */
export interface Pause {
  /** Monotonic time of the last check before it. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  /** Events counted since the last check before it, once the input of the pause has been read. */
  readonly counts: EventCounts;
}

/** Options of the monitor. */
export interface PauseMonitorOptions {
  /** Returns running counts of the events that a report should tell. */
  readonly readCounts: () => EventCounts;
  /** Called after each pause, once the input that arrived in it has been read. */
  readonly onPause: (pause: Pause) => void;
}

const waitTurns = (turns: number, callback: () => void): void => {
  setImmediate(() => {
    if (turns > 1) waitTurns(turns - 1, callback);
    else callback();
  });
};

/** Notices when the process has stood still, and how old the input may be that it reads then. */
export class PauseMonitor {
  /** Monotonic time of the last check after which all input had been read. */
  private checkedAtMs = performance.now();

  private counts: EventCounts = {};

  /** Whether the input of a pause is being read. */
  private isSettling = false;

  /** Monotonic time since which the process has read its input without a pause. */
  private readingSinceMs = performance.now();

  constructor(private readonly options: PauseMonitorOptions) {}

  /** Checks until the signal aborts. */
  start(signal: AbortSignal): void {
    this.recordCheck(performance.now());
    const timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    timer.unref();
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  }

  /** Returns the earliest monotonic time at which input that is being read now may have arrived. */
  estimateArrivalMs(): number {
    return this.isBehind ? this.checkedAtMs : performance.now();
  }

  /**
   * Whether the process has read its input without a pause for a duration. Otherwise the silence of
   * a peer or an upstream may be its own.
   */
  hasReadFor(durationMs: number): boolean {
    return !this.isBehind && performance.now() - this.readingSinceMs >= durationMs;
  }

  /** Whether a pause has just ended, or has not been noticed yet. */
  private get isBehind(): boolean {
    const elapsedMs = performance.now() - this.checkedAtMs;
    return this.isSettling || elapsedMs > CHECK_INTERVAL_MS + MIN_PAUSE_MS;
  }

  private check(): void {
    if (this.isSettling) return;
    const nowMs = performance.now();
    const durationMs = nowMs - this.checkedAtMs;
    if (durationMs <= CHECK_INTERVAL_MS + MIN_PAUSE_MS) {
      this.recordCheck(nowMs);
      return;
    }
    const { checkedAtMs: startedAtMs, counts } = this;
    this.isSettling = true;
    waitTurns(READ_TURNS, () => {
      this.isSettling = false;
      this.readingSinceMs = nowMs;
      // What is read from now on arrived after these turns had begun.
      this.recordCheck(nowMs);
      waitTurns(END_TURNS, () => this.reportPause(startedAtMs, durationMs, counts));
    });
  }

  private reportPause(startedAtMs: number, durationMs: number, before: EventCounts): void {
    const counts = Object.fromEntries(
      Object.entries(this.options.readCounts()).map(([name, count]) => [
        name,
        count - (before[name] ?? 0),
      ]),
    );
    this.options.onPause({ startedAtMs, durationMs, counts });
  }

  private recordCheck(nowMs: number): void {
    this.checkedAtMs = nowMs;
    this.counts = this.options.readCounts();
  }
}
