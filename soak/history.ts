import type { RequestEnd, UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';

/** Kinds of requests that callers send. */
export type RequestKind = 'safe' | 'unsafe' | 'stream';

/** Signals that the soak sends. */
export type SoakSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** A request as its caller saw it; times are of the soak's monotonic clock. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly vmId: string;
  readonly path: string;
  readonly bodyHash: string;
  readonly timeoutMs: number;
  /** Events of a whole stream; 0 for other kinds. */
  readonly events: number;
  readonly sentAtMs: number;
  /** When its last byte was written. */
  wholeAtMs: number | undefined;
  /** When its caller reads again after a pause; what it sees before then came earlier. */
  readAgainAtMs: number;
  end: RequestEnd | undefined;
  endedAtMs: number | undefined;
}

/** A signal as the soak sent it. */
export interface SignalRecord {
  readonly signal: SoakSignal;
  readonly atMs: number;
  /** Processor time of the process before the signal. */
  readonly cpuMs: number;
  /** Whether the supervisor sent it because the time of a shutdown was over. */
  readonly isOverdue: boolean;
}

/** Time for which a process had been ready to run and had no processor. */
export interface WaitSample {
  readonly atMs: number;
  readonly waitedMs: number;
}

/** One process of a VM, from its start to its end. */
export interface LifeRecord {
  readonly vmId: string;
  readonly pid: number;
  readonly startedAtMs: number;
  readonly signals: SignalRecord[];
  /** Times at which it was found ready. */
  readonly readyAtMs: number[];
  /** How long it had waited for a processor in all, at some moments. */
  readonly waits: WaitSample[];
  peakMemoryMb: number;
  exit:
    | { readonly code: number | null; readonly signal: string | null; readonly atMs: number }
    | undefined;
}

/** Trouble that no plan of an operator explains; `vmId` is undefined where it concerns all VMs. */
export interface ImpairmentRecord {
  readonly vmId: string | undefined;
  readonly kind: 'kill' | 'freeze' | 'port' | 'log' | 'upstreamLinks' | 'settings';
  readonly fromMs: number;
  readonly toMs: number;
}

/** All that callers, upstreams and the supervisor saw of one seed. */
export interface SoakHistory {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly UpstreamRun[];
  readonly lives: readonly LifeRecord[];
  readonly impairments: readonly ImpairmentRecord[];
  /** Answers that came while no request waited for one. */
  readonly strays: readonly string[];
  /** Spans in which the soak itself stood still, and saw what happened later than it did. */
  readonly stalls: readonly { readonly fromMs: number; readonly toMs: number }[];
  readonly configurationsAtMs: readonly number[];
  /** Upstreams that reported that they leave. */
  readonly leaves: readonly { readonly upstreamId: string; readonly atMs: number }[];
  /** When the last step of the plan was over. */
  readonly calmFromMs: number;
  readonly endedAtMs: number;
}

/** Rules of the users that the checks know, and findings that break none. */
export type SoakRule =
  | 'FAULT'
  | 'LOST'
  | 'TWICE'
  | 'REFUSED'
  | 'MIXED'
  | 'ORDER'
  | 'UNASKED'
  | 'DRAIN'
  | 'BUDGET'
  | 'RECOVER'
  | 'EARLY'
  | 'STARVED';

/** One breach of a rule. */
export interface Finding {
  readonly rule: SoakRule;
  readonly vmId: string;
  readonly atMs: number;
  readonly text: string;
  /** Whether it is a matter of time, which a machine that is too busy takes from the processes. */
  readonly isTimed?: boolean;
}

/** Bounds of the users' rules. */
export interface SoakBounds {
  readonly shutdownMs: number;
  /** Time in which a request that wasn't passed on may still be cut. */
  readonly lossSlackMs: number;
  /** Time in which a changed configuration is in force. */
  readonly applyMs: number;
  /** Time after which no request reaches an upstream that leaves. */
  readonly drainMs: number;
  /** Calm before a moment that lets rules hold again. */
  readonly stableMs: number;
  readonly readyMs: number;
  /** Time after the last trouble in which the fleet serves again. */
  readonly recoverMs: number;
  readonly memoryMb: number;
  /** Time limit of all routes. */
  readonly routeTimeoutMs: number;
  /** Processor time of the runtime's own start, in which no program can handle a signal. */
  readonly runtimeStartCpuMs: number;
}
