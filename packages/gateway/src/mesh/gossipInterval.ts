import type { ZoneRelays } from '@goldcrestscale/core';
import {
  GOSSIP_BASE_PEER_COUNT,
  GOSSIP_INTERVAL_MS,
  RELAYED_GOSSIP_INTERVAL_MS,
} from '../constants.js';

/** Intervals until a report has reached all VMs: its own, and with relays those of two of them. */
const DIRECT_INTERVALS = 1.5;
const RELAYED_INTERVALS = 3;

/** The interval grows with the number of VMs, so that the message rate of a VM is constant. */
export const computeGossipIntervalMs = (
  { isAggregating }: Pick<ZoneRelays, 'isAggregating'>,
  vmCount: number,
): number =>
  isAggregating
    ? RELAYED_GOSSIP_INTERVAL_MS
    : GOSSIP_INTERVAL_MS * Math.max(1, vmCount / GOSSIP_BASE_PEER_COUNT);

/** Computes the time until all VMs know what one of them told, in milliseconds. */
export const computeReportDelayMs = (
  relays: Pick<ZoneRelays, 'isAggregating'>,
  vmCount: number,
): number =>
  computeGossipIntervalMs(relays, vmCount) *
  (relays.isAggregating ? RELAYED_INTERVALS : DIRECT_INTERVALS);
