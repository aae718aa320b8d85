import type { VmId } from '../ids.js';
import { GRID_HEARTBEAT_MS } from './constants.js';
import { selectGridNeighbours } from './grid.js';
import { HeartbeatDetector } from './heartbeatDetector.js';

/** Sends heartbeats to the members of the same grid row or column. */
export class GridHeartbeatDetector extends HeartbeatDetector {
  protected override readonly intervalMs = GRID_HEARTBEAT_MS;

  protected override selectNeighbours(members: readonly VmId[]): readonly VmId[] {
    return selectGridNeighbours(this.self, members);
  }
}
