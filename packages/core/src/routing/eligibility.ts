import type { ModelId, WeightVersion } from '../ids.js';
import { MAX_LOAD_AGE_MS } from './constants.js';

/** Why an upstream may not get a new request. */
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

/** State that determines whether an upstream may get a request. */
export interface EligibilityInput {
  readonly zoneState: 'in' | 'out';
  /** Whether the VM list, the upstream itself or its configuration row says that it is leaving. */
  readonly leaving: boolean;
  /** Whether it is loading weights and cannot serve requests. */
  readonly loading?: boolean;
  readonly role: 'engine' | 'service' | 'store' | 'entry';
  readonly wantedRole: 'engine' | 'service';
  readonly model?: ModelId | undefined;
  readonly wantedModel?: ModelId | undefined;
  readonly weightVersion?: WeightVersion | undefined;
  /** Weight version required for new requests. */
  readonly wantedVersion?: WeightVersion | undefined;
  readonly breaker: 'closed' | 'open' | 'half-open';
  readonly cold: boolean;
  readonly coldConcurrent: number;
  /** Known requests in flight at the upstream. */
  readonly inFlight: number;
  /** Age of the load figures, in milliseconds. */
  readonly ageMs: number;
}

/** Whether an upstream may get a request, with the reason if not. */
export type Eligibility =
  { readonly eligible: true } | { readonly eligible: false; readonly reason: IneligibleReason };

const findIneligibleReason = (input: EligibilityInput): IneligibleReason | undefined => {
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

/**
 * Decides whether an upstream may get a request; checked at routing and again right before
 * dispatch.
 */
export const decideEligibility = (input: EligibilityInput): Eligibility => {
  const reason = findIneligibleReason(input);
  return reason === undefined ? { eligible: true } : { eligible: false, reason };
};
