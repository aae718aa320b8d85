import type { UpstreamId } from '../ids.js';
import { hashString } from '../membership/index.js';
import { SLOT_GROUP_COUNT } from './constants.js';

/** Returns the lease resource of the group that an upstream belongs to, for example "slots/17". */
export const getSlotGroup = (upstreamId: UpstreamId): string =>
  `slots/${hashString(upstreamId) % SLOT_GROUP_COUNT}`;

/** Lists the lease resources of all groups. */
export const listSlotGroups = (): readonly string[] =>
  Array.from({ length: SLOT_GROUP_COUNT }, (_, index) => `slots/${index}`);
