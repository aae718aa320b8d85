const RELAY_GROUPS = 4;
const RELAYS_PER_GROUP = 2;

const isRelay = (vm: number): boolean => vm < RELAY_GROUPS * RELAYS_PER_GROUP;

/**
 * Lists the VMs to which a simulated one sends its gossip: all in a small fleet; in one with relays,
 * those of its group, and from relay to relay.
 */
export const listGossipTargets = (
  vm: number,
  vms: number,
  isRelayed: boolean,
): readonly number[] => {
  const all = Array.from({ length: vms }, (_, index) => index);
  if (!isRelayed) return all;
  const ownGroup = all.filter((index) => index % RELAY_GROUPS === vm % RELAY_GROUPS);
  return isRelay(vm) ? [...ownGroup, ...all.filter(isRelay)] : ownGroup.filter(isRelay);
};
