import type {
  AnswerFault,
  EndlessBytes,
  StandInAnswer,
  LinkFault,
} from '@goldcrestscale/adapter/standin/index.js';
import type { SoakSignal } from './history.js';
import type { NextStart, VmPort } from './supervisedVm.js';

/** One step of a seed's plan; `vm` and `upstream` are indexes. */
export type PlanStep = { readonly atMs: number } & (
  | { readonly type: 'signal'; readonly vm: number; readonly signal: SoakSignal }
  | { readonly type: 'freeze'; readonly vm: number; readonly forMs: number }
  /** Ends a process and signals the next one of this VM after its start. */
  | ({
      readonly type: 'restart';
      readonly vm: number;
      readonly signal: 'SIGTERM' | 'SIGKILL';
    } & NextStart)
  | {
      readonly type: 'settings';
      readonly vm: number;
      /** How long the file is there in part. */
      readonly partMs: number;
      readonly hasSignal: boolean;
    }
  | {
      readonly type: 'logLink';
      /** Undefined for all VMs. */
      readonly vm: number | undefined;
      readonly fault: LinkFault;
      readonly forMs: number;
    }
  | {
      readonly type: 'upstreamLink';
      readonly upstream: number;
      readonly fault: LinkFault;
      readonly forMs: number;
    }
  | { readonly type: 'crash'; readonly upstream: number; readonly forMs: number }
  | { readonly type: 'leave'; readonly upstream: number; readonly forMs: number }
  | {
      readonly type: 'answers';
      readonly upstream: number;
      readonly fault: AnswerFault;
      readonly forMs: number;
    }
  | {
      readonly type: 'logAnswers';
      readonly answer: StandInAnswer | EndlessBytes;
      readonly forMs: number;
    }
  /** Bytes of an unauthenticated client at a port of a VM. */
  | {
      readonly type: 'noise';
      readonly vm: number;
      readonly port: VmPort;
      readonly bytes: string;
    }
  /** Connections of unauthenticated clients to a port of a VM; they send without end, or nothing more. */
  | {
      readonly type: 'unauthenticated';
      readonly vm: number;
      readonly port: VmPort;
      readonly connections: number;
      readonly bytes: EndlessBytes;
      readonly forMs: number;
    }
  /** Callers that come at once, each with one request. */
  | { readonly type: 'crowd'; readonly vm: number; readonly callers: number }
  | { readonly type: 'configuration' }
);

/** What a seed of the soak does. */
export interface FaultPlan {
  readonly seed: number;
  readonly vms: number;
  readonly upstreams: number;
  readonly durationMs: number;
  /** Time after the last step in which the fleet is only watched. */
  readonly quietMs: number;
  readonly steps: readonly PlanStep[];
}
