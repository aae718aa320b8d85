import type { VmId } from '../ids.js';
import { FULL_MESH_HEARTBEAT_MS } from './constants.js';
import { HeartbeatDetector } from './heartbeatDetector.js';

/** Baseline protocol: every member sends heartbeats to every other member. */
export class FullMeshDetector extends HeartbeatDetector {
  protected override readonly intervalMs = FULL_MESH_HEARTBEAT_MS;

  protected override selectNeighbours(members: readonly VmId[]): readonly VmId[] {
    return members.filter((vmId) => vmId !== this.self);
  }
}
