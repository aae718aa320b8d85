import type { BlockKey } from '@goldcrestscale/core';
import type { TraceRequest } from '../workloads/generateTrace.js';
import { Heap } from './heap.js';
import {
  ENGINE_CACHE_BLOCKS,
  ENGINE_ZONES,
  KV_BYTES_PER_TOKEN,
  STORE_CAPACITY_BYTES,
  STORE_ZONES,
} from './constants.js';

const BLOCK_TOKENS = 1024;

/** Total capacity of all engines and store VMs, in blocks. */
const CAPACITY_BLOCKS =
  ENGINE_ZONES.length * ENGINE_CACHE_BLOCKS +
  Math.floor((STORE_ZONES.length * STORE_CAPACITY_BYTES) / (KV_BYTES_PER_TOKEN * BLOCK_TOKENS));

const NEVER = Number.POSITIVE_INFINITY;

interface CachedBlock {
  readonly key: BlockKey;
  readonly nextUse: number;
}

/** Finds the next request that uses a block again, for each block of each request. */
const findNextUses = (trace: readonly TraceRequest[]): Float64Array[] => {
  const nextUse = new Map<BlockKey, number>();
  const uses: Float64Array[] = new Array<Float64Array>(trace.length);
  for (let i = trace.length - 1; i >= 0; i -= 1) {
    const { blocks } = trace[i]!;
    uses[i] = Float64Array.from(blocks, ({ key }) => nextUse.get(key) ?? NEVER);
    blocks.forEach(({ key }) => nextUse.set(key, i));
  }
  return uses;
};

/**
 * Counts the tokens recomputed with an optimal (Belady) cache: a single cache with the total
 * capacity of all engines and store VMs, without transfer costs or copies, that always evicts the
 * block whose next use is furthest in the future.
 */
export const countOracleRecomputedTokens = (
  trace: readonly TraceRequest[],
  fromMs: number,
  toMs: number,
): number => {
  const nextUses = findNextUses(trace);
  const cachedBlocks = new Map<BlockKey, number>();
  const evictionHeap = new Heap<CachedBlock>((left, right) => left.nextUse > right.nextUse);
  let recomputedTokens = 0;
  trace.forEach(({ atMs, blocks, previouslyComputedTokens: knownTokens }, i) => {
    const firstMissing = blocks.findIndex(({ key }) => !cachedBlocks.has(key));
    const cachedTokens = (firstMissing < 0 ? blocks.length : firstMissing) * BLOCK_TOKENS;
    if (atMs >= fromMs && atMs < toMs) recomputedTokens += Math.max(0, knownTokens - cachedTokens);
    blocks.forEach(({ key }, position) => {
      const nextUse = nextUses[i]![position]!;
      cachedBlocks.delete(key);
      if (nextUse === NEVER) return;
      cachedBlocks.set(key, nextUse);
      evictionHeap.add({ key, nextUse });
    });
    while (cachedBlocks.size > CAPACITY_BLOCKS) {
      const { key, nextUse } = evictionHeap.take()!;
      if (cachedBlocks.get(key) === nextUse) cachedBlocks.delete(key);
    }
  });
  return recomputedTokens;
};
