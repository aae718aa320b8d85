import type { AvailabilityZoneId, ModelId, WeightNumber } from '../ids.js';
import { getNow } from '../lease/index.js';
import type { Moment } from '../lease/index.js';
import type { Deployment } from './deployment.js';
import { DeploymentView } from './deploymentView.js';

/** One change by operators, as read from the log. */
export type OperatorChange =
  | { readonly kind: 'deployment'; readonly deployment: Deployment }
  | { readonly kind: 'weights'; readonly model: ModelId; readonly wanted: WeightNumber }
  | { readonly kind: 'zone-out'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'zone-in'; readonly zone: AvailabilityZoneId };

/** Weights that the engines of a model should run on. */
export interface WantedWeights {
  readonly model: ModelId;
  readonly wanted: WeightNumber;
  /** When this process learned of them. */
  readonly learnedAt: Moment;
}

/**
 * What operators want at this moment. A version that is not newer than the one in force changes
 * nothing, so late and repeated records never take the fleet back.
 */
export class OperatorState {
  private current: DeploymentView | undefined;

  private readonly weights = new Map<ModelId, WantedWeights>();

  private readonly zonesOut = new Set<AvailabilityZoneId>();

  /** Undefined until the first configuration is known. */
  get view(): DeploymentView | undefined {
    return this.current;
  }

  /** @returns whether the change has an effect */
  apply(change: OperatorChange): boolean {
    if (change.kind === 'deployment') return this.applyDeployment(change.deployment);
    if (change.kind === 'weights') return this.applyWeights(change.model, change.wanted);
    if (change.kind === 'zone-in') return this.zonesOut.delete(change.zone);
    const isNew = !this.zonesOut.has(change.zone);
    this.zonesOut.add(change.zone);
    return isNew;
  }

  /** Takes a complete list of the zones that are out. @returns whether it has an effect */
  replaceZonesOut(zones: readonly AvailabilityZoneId[]): boolean {
    const isSame = zones.length === this.zonesOut.size && zones.every((z) => this.zonesOut.has(z));
    this.zonesOut.clear();
    zones.forEach((zone) => this.zonesOut.add(zone));
    return !isSame;
  }

  isZoneOut(zone: AvailabilityZoneId): boolean {
    return this.zonesOut.has(zone);
  }

  findWeights(model: ModelId): WantedWeights | undefined {
    return this.weights.get(model);
  }

  listWeights(): readonly WantedWeights[] {
    return [...this.weights.values()];
  }

  private applyDeployment(deployment: Deployment): boolean {
    if (this.current && deployment.version <= this.current.version) return false;
    this.current = new DeploymentView(deployment);
    return true;
  }

  private applyWeights(model: ModelId, wanted: WeightNumber): boolean {
    const known = this.weights.get(model);
    if (known && wanted <= known.wanted) return false;
    this.weights.set(model, { model, wanted, learnedAt: getNow() });
    return true;
  }
}
