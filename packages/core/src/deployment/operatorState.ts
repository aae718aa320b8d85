import type { AvailabilityZoneId, ModelId, WeightNumber } from '../ids.js';
import { computeMaxElapsedMs, readClocks } from '../lease/index.js';
import type { ClockReading } from '../lease/index.js';
import type { Deployment } from './deployment.js';
import { DeploymentView } from './deploymentView.js';

/** A change made by operators, as read from the log. */
export type OperatorChange =
  | { readonly kind: 'deployment'; readonly deployment: Deployment }
  | { readonly kind: 'weights'; readonly model: ModelId; readonly wanted: WeightNumber }
  | { readonly kind: 'zone-out'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'zone-in'; readonly zone: AvailabilityZoneId };

/** Superseding versions kept per model; older ones are past every time limit. */
const MAX_WEIGHT_CHANGES = 8;

/** Maximum number of models with wanted weights, and of zones out of service; further ones are not recorded. */
const MAX_OPERATOR_KEYS = 1_000;

/** Weight version that a model's engines should run. */
export interface WantedWeights {
  readonly model: ModelId;
  readonly wanted: WeightNumber;
  /** When this process received the change. */
  readonly learnedAt: ClockReading;
  /** Earliest time at which the change may have been announced; undefined if it is not known. */
  readonly announcedAt: ClockReading | undefined;
}

/**
 * Time since the last confirmation, in milliseconds, up to which a change counts as announced when it
 * is learned. After a longer one, it may have been announced at any time since the confirmation.
 */
const MAX_CONFIRMATION_AGE_MS = 2_500;

/** Computes the maximum time since the announcement of weights; infinite if it is not known. */
export const computeMaxWeightsAgeMs = ({ announcedAt }: WantedWeights): number =>
  announcedAt ? computeMaxElapsedMs(announcedAt) : Infinity;

/**
 * Current desired state set by operators. A version that is not newer than the current one has no
 * effect, so delayed and duplicate records never roll the fleet back.
 */
export class OperatorState {
  private currentView: DeploymentView | undefined;

  /** The last changes of each model, in ascending order. */
  private readonly weights = new Map<ModelId, readonly WantedWeights[]>();

  private readonly zonesOut = new Set<AvailabilityZoneId>();

  /** Last moment up to which all changes are known. */
  private confirmedAt: ClockReading | undefined;

  /**
   * @param isFleetStart whether the fleet starts together with this process, so that no change was
   * announced long before
   */
  constructor(private readonly isFleetStart = true) {}

  /** Undefined until the first configuration has been applied. */
  get view(): DeploymentView | undefined {
    return this.currentView;
  }

  /** Records a moment up to which all changes are known. */
  recordConfirmation(confirmedAt: ClockReading): void {
    this.confirmedAt = confirmedAt;
  }

  /** Whether a change can be recorded. */
  hasRoomFor(change: OperatorChange): boolean {
    if (change.kind === 'weights')
      return this.weights.has(change.model) || this.weights.size < MAX_OPERATOR_KEYS;
    if (change.kind === 'zone-out')
      return this.zonesOut.has(change.zone) || this.zonesOut.size < MAX_OPERATOR_KEYS;
    return true;
  }

  /** @returns whether the change had an effect */
  apply(change: OperatorChange): boolean {
    if (change.kind === 'deployment') return this.applyDeployment(change.deployment);
    if (change.kind === 'weights') return this.applyWeights(change.model, change.wanted);
    if (change.kind === 'zone-in') return this.zonesOut.delete(change.zone);
    const isNew = !this.zonesOut.has(change.zone);
    this.zonesOut.add(change.zone);
    return isNew;
  }

  /** Replaces the set of zones that are out of service. @returns whether the set has changed */
  replaceZonesOut(zones: readonly AvailabilityZoneId[]): boolean {
    const isSame = zones.length === this.zonesOut.size && zones.every((z) => this.zonesOut.has(z));
    this.zonesOut.clear();
    zones.slice(0, MAX_OPERATOR_KEYS).forEach((zone) => this.zonesOut.add(zone));
    return !isSame;
  }

  isZoneOut(zone: AvailabilityZoneId): boolean {
    return this.zonesOut.has(zone);
  }

  findWeights(model: ModelId): WantedWeights | undefined {
    return this.weights.get(model)?.at(-1);
  }

  /**
   * Finds the first change that superseded loaded weights. Their time limit counts from it, however
   * many newer versions have been announced since.
   */
  findSuperseding(model: ModelId, loaded: WeightNumber): WantedWeights | undefined {
    return this.weights.get(model)?.find(({ wanted }) => wanted > loaded);
  }

  listWeights(): readonly WantedWeights[] {
    return [...this.weights.values()].flatMap((changes) => changes.slice(-1));
  }

  private applyDeployment(deployment: Deployment): boolean {
    if (this.currentView && deployment.version <= this.currentView.version) return false;
    this.currentView = new DeploymentView(deployment);
    return true;
  }

  private findAnnouncedAt(learnedAt: ClockReading): ClockReading | undefined {
    if (!this.confirmedAt) return this.isFleetStart ? learnedAt : undefined;
    const isConfirmed = computeMaxElapsedMs(this.confirmedAt) <= MAX_CONFIRMATION_AGE_MS;
    return isConfirmed ? learnedAt : this.confirmedAt;
  }

  private applyWeights(model: ModelId, wanted: WeightNumber): boolean {
    const changes = this.weights.get(model) ?? [];
    const current = changes.at(-1);
    if (current && wanted <= current.wanted) return false;
    const learnedAt = readClocks();
    const change = { model, wanted, learnedAt, announcedAt: this.findAnnouncedAt(learnedAt) };
    this.weights.set(model, [...changes, change].slice(-MAX_WEIGHT_CHANGES));
    return true;
  }
}
