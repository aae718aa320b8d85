import type { ModelId, WeightVersion } from '../ids.js';
import { MAX_LOAD_AGE_MS } from './constants.js';

/** Why an upstream gets no new request. */
export type IneligibleReason =
  | 'zone-out'
  | 'leaving'
  | 'loading'
  | 'role'
  | 'model'
  | 'weight-version'
  | 'breaker-open'
  | 'no-cold-slot'
  | 'load-unknown';

/** All that decides whether an upstream may get a request now. */
export interface EligibilityInput {
  readonly zoneState: 'in' | 'out';
  /** From the VM list, the upstream's own signal or its row, whichever came first. */
  readonly leaving: boolean;
  /** Whether it loads weights and serves nothing meanwhile. */
  readonly loading?: boolean;
  readonly role: 'engine' | 'service' | 'store' | 'entry';
  readonly wantedRole: 'engine' | 'service';
  readonly model?: ModelId | undefined;
  readonly wantedModel?: ModelId | undefined;
  readonly weightVersion?: WeightVersion | undefined;
  /** Version that new requests use. */
  readonly wantedVersion?: WeightVersion | undefined;
  readonly breaker: 'closed' | 'open' | 'half-open';
  readonly cold: boolean;
  readonly coldConcurrent: number;
  /** Requests in flight there, as far as known. */
  readonly inFlight: number;
  /** Age of the load figures, in milliseconds. */
  readonly ageMs: number;
}

/** Whether an upstream may get a request, and if not why. */
export type Eligibility =
  { readonly eligible: true } | { readonly eligible: false; readonly reason: IneligibleReason };

const findReason = (input: EligibilityInput): IneligibleReason | undefined => {
  if (input.zoneState === 'out') return 'zone-out';
  if (input.leaving) return 'leaving';
  if (input.loading) return 'loading';
  if (input.role !== input.wantedRole) return 'role';
  if (input.wantedModel !== undefined && input.model !== input.wantedModel) return 'model';
  if (input.wantedVersion !== undefined && input.weightVersion !== input.wantedVersion) {
    return 'weight-version';
  }
  if (input.breaker === 'open') return 'breaker-open';
  if (input.ageMs > MAX_LOAD_AGE_MS) return 'load-unknown';
  if (input.cold && input.inFlight >= input.coldConcurrent) return 'no-cold-slot';
  return undefined;
};

/** Decides whether an upstream may get a request; asked at routing and again right before dispatch. */
export const decideEligibility = (input: EligibilityInput): Eligibility => {
  const reason = findReason(input);
  return reason === undefined ? { eligible: true } : { eligible: false, reason };
};
