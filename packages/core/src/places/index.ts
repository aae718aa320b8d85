/** Places of services: room, order, parts of the VMs and returns while there are too few. */
export { CallerTimes } from './callerTimes.js';
export { computeOutageRetryAfterMs } from './outageRetryAfter.js';
export { PeerWaiting, subtractWaiting, sumWaiting } from './peerWaiting.js';
export type { WaitingRow } from './peerWaiting.js';
export { PrefillShare } from './prefillShare.js';
export { PlaceAdmission } from './placeAdmission.js';
export type { NewPlaceRequest } from './placeAdmission.js';
export type { PlaceFleet, PlaceRefusal } from './placeRequest.js';
export {
  computeMaxBacklogMs,
  computePlaces,
  computeQueuedSlots,
  computeRoom,
} from './placeRoom.js';
export type { PlaceRoom, UpstreamCapacity, UpstreamUse } from './placeRoom.js';
