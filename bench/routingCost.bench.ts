/* eslint-disable no-bitwise -- hashes test keys into 32-bit words */
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
import type { Benchmark, Measurement } from './measurement.js';

const CHAIN_BLOCKS = 20;
const DECISION_COUNT = 2000;
const WARM_UP_DECISION_COUNT = 500;
const KEY_BYTES = 24;
const UPSTREAM_COUNTS = [8, 100, 2600];
const ENTRY_COUNTS = [10_000, 1_000_000];
const VM_COUNT = 860;
const LOST_VM_COUNT = 36;
const LOOKUP_COUNT = 2000;
const MICROSECONDS_PER_MS = 1000;

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

const createIndex = (entryCount: number, upstreamCount: number): PrefixIndex => {
  const index = new PrefixIndex();
  for (let chain = 0; chain * CHAIN_BLOCKS < entryCount; chain += 1) {
    const keys = createChain(chain).map(({ key }) => key);
    index.addBlocks(toId<UpstreamId>(`u${chain % upstreamCount}`), keys);
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

/** Measures the mean wall-clock time of one routing decision over an existing pool. */
const measureDecisionUs = (
  index: PrefixIndex,
  entryCount: number,
  upstreamCount: number,
): number => {
  const pool = UpstreamPool.create(Array.from({ length: upstreamCount }, (_, n) => createView(n)));
  const router = new LeastTimeRouter({ prefixIndex: index, random: xoroshiro128plus(1) });
  const chains = entryCount / CHAIN_BLOCKS;
  const requests = Array.from({ length: DECISION_COUNT }, (_, i) =>
    createRequest((i * 7919) % chains),
  );
  requests
    .slice(0, WARM_UP_DECISION_COUNT)
    .forEach((request) => router.chooseFromPool(request, pool));
  const startedAtMs = performance.now();
  requests.forEach((request) => router.chooseFromPool(request, pool));
  return ((performance.now() - startedAtMs) / DECISION_COUNT) * MICROSECONDS_PER_MS;
};

const measureCosts = (): Measurement[] =>
  ENTRY_COUNTS.flatMap((entryCount) =>
    UPSTREAM_COUNTS.flatMap((upstreamCount) => {
      const index = createIndex(entryCount, upstreamCount);
      const configuration = `${upstreamCount} upstreams, ${entryCount} entries`;
      return [
        {
          name: `decision (us): ${configuration}`,
          measured: measureDecisionUs(index, entryCount, upstreamCount),
        },
        { name: `index bytes per location: ${configuration}`, measured: index.bytes / index.size },
      ];
    }),
  );

/** Measures the share of index entries lost with a group of VMs, by the number of copies. */
const measureLossShares = (): Measurement[] => {
  const vmIds = Array.from({ length: VM_COUNT }, (_, i) => toId<VmId>(`vm-${i}`));
  const lostVmIds = new Set(vmIds.slice(0, LOST_VM_COUNT));
  return [1, 2, 3].map((copies) => {
    const ownership = createIndexOwnership(vmIds, copies);
    let lostEntryCount = 0;
    for (let chain = 0; chain < LOOKUP_COUNT; chain += 1) {
      const owners = ownership.pickOwners(createKey(chain, 0));
      if (owners.every((owner) => lostVmIds.has(owner))) lostEntryCount += 1;
    }
    const name = `share of entries lost with ${LOST_VM_COUNT} of ${VM_COUNT} VMs, ${copies} copies`;
    return { name, measured: lostEntryCount / LOOKUP_COUNT };
  });
};

const benchmark: Benchmark = {
  name: 'cost of one routing decision',
  run: () => Promise.resolve([...measureCosts(), ...measureLossShares()]),
};

export default benchmark;
