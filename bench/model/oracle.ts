import type { BlockKey } from '@goldcrestscale/core';
import type { TraceRequest } from '../workloads/generate.js';
import { Heap } from './heap.js';
import {
  ENGINE_CACHE_BLOCKS,
  ENGINE_ZONES,
  KV_BYTES_PER_TOKEN,
  STORE_CAPACITY_BYTES,
  STORE_ZONES,
} from './sizes.js';

const BLOCK_TOKENS = 1024;

/** Blocks that all engines and store VMs hold together. */
const CAPACITY_BLOCKS =
  ENGINE_ZONES.length * ENGINE_CACHE_BLOCKS +
  Math.floor((STORE_ZONES.length * STORE_CAPACITY_BYTES) / (KV_BYTES_PER_TOKEN * BLOCK_TOKENS));

const NEVER = Number.POSITIVE_INFINITY;

interface HeldUse {
  readonly key: BlockKey;
  readonly nextUse: number;
}

/** Finds for each request and block the next request that uses the block again. */
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
 * Counts the tokens recomputed by an oracle: one cache of the size of all engines and store VMs
 * together, copies and links free, that always drops the block whose next use is the latest.
 */
export const countOracleTokens = (
  trace: readonly TraceRequest[],
  fromMs: number,
  toMs: number,
): number => {
  const nextUses = findNextUses(trace);
  const held = new Map<BlockKey, number>();
  const order = new Heap<HeldUse>((left, right) => left.nextUse > right.nextUse);
  let recomputed = 0;
  trace.forEach(({ atMs, blocks, knownTokens }, i) => {
    const missing = blocks.findIndex(({ key }) => !held.has(key));
    const cached = (missing < 0 ? blocks.length : missing) * BLOCK_TOKENS;
    if (atMs >= fromMs && atMs < toMs) recomputed += Math.max(0, knownTokens - cached);
    blocks.forEach(({ key }, position) => {
      const nextUse = nextUses[i]![position]!;
      held.delete(key);
      if (nextUse === NEVER) return;
      held.set(key, nextUse);
      order.add({ key, nextUse });
    });
    while (held.size > CAPACITY_BLOCKS) {
      const { key, nextUse } = order.take()!;
      if (held.get(key) === nextUse) held.delete(key);
    }
  });
  return recomputed;
};
