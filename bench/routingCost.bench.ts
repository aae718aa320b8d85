/* eslint-disable no-bitwise -- spreads test keys over 32-bit words */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  createIndexOwnership,
  LeastTimeRouter,
  PrefixIndex,
  toId,
  UpstreamPool,
  workloadRowSchema,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockKey,
  BootId,
  ModelId,
  PromptBlock,
  RouteRequest,
  UpstreamId,
  UpstreamView,
  VmId,
} from '@goldcrestscale/core';
import type { Benchmark, Measure } from './measure.js';

const CHAIN_BLOCKS = 20;
const DECISIONS = 2000;
const WARM_DECISIONS = 500;
const KEY_BYTES = 24;
const UPSTREAM_COUNTS = [8, 100, 2600];
const ENTRY_COUNTS = [10_000, 1_000_000];
const MEMBERS = 860;
const LOST_MEMBERS = 36;
const LOOKUPS = 2000;
const US_PER_MS = 1000;

const model = toId<ModelId>('m');

const createKey = (chain: number, position: number): BlockKey => {
  const bytes = Buffer.alloc(KEY_BYTES);
  bytes.writeUInt32LE(Math.imul(chain + 1, 0x9e3779b1) >>> 0, 4);
  bytes.writeUInt32LE(chain, 8);
  bytes.writeUInt32LE(Math.imul(chain * CHAIN_BLOCKS + position + 1, 0x85ebca6b) >>> 0, 12);
  return toId<BlockKey>(bytes.toString('base64url'));
};

const createChain = (chain: number): PromptBlock[] =>
  Array.from({ length: CHAIN_BLOCKS }, (_, i) => ({ key: createKey(chain, i), tokens: 1024 }));

const createView = (n: number): UpstreamView => ({
  upstreamId: toId<UpstreamId>(`u${n}`),
  role: 'engine',
  address: '',
  availabilityZone: toId<AvailabilityZoneId>(`z${n % 20}`),
  bootId: toId<BootId>('1'),
  model,
  eligible: true,
  cold: false,
  running: n % 7,
  waiting: 0,
  waitingPromptTokens: (n * 37) % 5000,
  prefillTokensPerSecond: 3000,
  maxConcurrent: 8,
  coldConcurrent: 2,
  ageMs: 100,
  dispatchedSince: 0,
  dispatchedTokensSince: 0,
});

const createIndex = (entries: number, upstreams: number): PrefixIndex => {
  const index = new PrefixIndex();
  for (let chain = 0; chain * CHAIN_BLOCKS < entries; chain += 1) {
    const keys = createChain(chain).map(({ key }) => key);
    index.addBlocks(toId<UpstreamId>(`u${chain % upstreams}`), keys);
  }
  return index;
};

const createRequest = (chain: number): RouteRequest => ({
  accountId: toId('account'),
  workload: workloadRowSchema.parse({ kind: 'workload', id: 'w', accountId: 'account', model }),
  blocks: createChain(chain),
  promptTokens: CHAIN_BLOCKS * 1024 + 500,
  excludedUpstreams: new Set(),
  avoidedZones: new Set(),
});

/** Measures the wall-clock time of one decision over a pool that is kept, in microseconds. */
const measureDecision = (index: PrefixIndex, entries: number, upstreams: number): number => {
  const pool = UpstreamPool.create(Array.from({ length: upstreams }, (_, n) => createView(n)));
  const router = new LeastTimeRouter({ prefixIndex: index, random: xoroshiro128plus(1) });
  const chains = entries / CHAIN_BLOCKS;
  const requests = Array.from({ length: DECISIONS }, (_, i) => createRequest((i * 7919) % chains));
  requests.slice(0, WARM_DECISIONS).forEach((request) => router.chooseFromPool(request, pool));
  const startMs = performance.now();
  requests.forEach((request) => router.chooseFromPool(request, pool));
  return ((performance.now() - startMs) / DECISIONS) * US_PER_MS;
};

const measureCosts = (): Measure[] =>
  ENTRY_COUNTS.flatMap((entries) =>
    UPSTREAM_COUNTS.flatMap((upstreams) => {
      const index = createIndex(entries, upstreams);
      const where = `${upstreams} upstreams, ${entries} entries`;
      return [
        { name: `decision (us): ${where}`, ours: measureDecision(index, entries, upstreams) },
        { name: `index bytes a location: ${where}`, ours: index.bytes / index.size },
      ];
    }),
  );

/** Measures the share of index entries that are lost with some members, by copies. */
const measureLoss = (): Measure[] => {
  const members = Array.from({ length: MEMBERS }, (_, i) => toId<VmId>(`vm-${i}`));
  const lost = new Set(members.slice(0, LOST_MEMBERS));
  return [1, 2, 3].map((copies) => {
    const ownership = createIndexOwnership(members, copies);
    let missed = 0;
    for (let chain = 0; chain < LOOKUPS; chain += 1) {
      const owners = ownership.pickOwners(createKey(chain, 0));
      if (owners.every((owner) => lost.has(owner))) missed += 1;
    }
    const name = `share of entries lost with ${LOST_MEMBERS} of ${MEMBERS} VMs, ${copies} copies`;
    return { name, ours: missed / LOOKUPS };
  });
};

const benchmark: Benchmark = {
  name: 'cost of one routing decision',
  run: () => Promise.resolve([...measureCosts(), ...measureLoss()]),
};

export default benchmark;
