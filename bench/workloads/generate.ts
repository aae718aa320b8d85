import { createHash } from 'node:crypto';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { BLOCK_TOKENS, toId, workloadRowSchema } from '@goldcrestscale/core';
import type { BlockKey, ClientAccountId, PromptBlock, WorkloadRow } from '@goldcrestscale/core';

/** A lognormal distribution. */
export interface Lognormal {
  readonly median: number;
  readonly sigma: number;
}

/** Shape of a workload of returning prompts. */
export interface WorkloadShape {
  readonly name: string;
  readonly seed: number;
  /** Shares of the client accounts. */
  readonly accountWeights: readonly number[];
  /** New sessions a second, on average. */
  readonly sessionsPerSecond: number;
  /** Swing of the arrival rate over an hour, as a share of it. */
  readonly swing: number;
  /** Probability that a prompt returns. */
  readonly returnShare: number;
  readonly gapMs: Lognormal;
  /** Tokens that all prompts of an account begin with. */
  readonly sharedTokens: number;
  readonly contextTokens: Lognormal;
  /** Tokens that each return adds. */
  readonly turnTokens: number;
  readonly outputTokens: number;
  readonly latencyWeight: number;
  readonly recomputeWeight: number;
}

/** One request of a trace. */
export interface TraceRequest {
  readonly atMs: number;
  readonly workload: WorkloadRow;
  readonly blocks: readonly PromptBlock[];
  readonly promptTokens: number;
  /** Prompt tokens that an earlier request computed already. */
  readonly knownTokens: number;
  readonly returning: boolean;
  readonly outputTokens: number;
}

const HOUR_MS = 3_600_000;
const MIN_GAP_MS = 15_000;
const KEY_BYTES = 24;
const TAG_BYTES = 4;

const sampleNormal = (random: RandomGenerator): number =>
  Math.sqrt(-2 * Math.log(1 - uniformFloat64(random))) *
  Math.cos(2 * Math.PI * uniformFloat64(random));

const sampleLognormal = (random: RandomGenerator, shape: Lognormal): number =>
  shape.median * Math.exp(shape.sigma * sampleNormal(random));

const hashText = (text: string): Buffer => createHash('sha256').update(text).digest();

const createKey = (account: string, name: string): BlockKey =>
  toId<BlockKey>(
    Buffer.concat([
      hashText(account).subarray(0, TAG_BYTES),
      hashText(`${account}/${name}`).subarray(0, KEY_BYTES - TAG_BYTES),
    ]).toString('base64url'),
  );

const createBlocks = (
  account: string,
  session: number,
  shape: WorkloadShape,
  tokens: number,
): PromptBlock[] => {
  const shared = Math.floor(shape.sharedTokens / BLOCK_TOKENS);
  return Array.from({ length: Math.floor(tokens / BLOCK_TOKENS) }, (_, i) => ({
    key: createKey(account, i < shared ? `shared/${i}` : `${session}/${i}`),
    tokens: BLOCK_TOKENS,
  }));
};

const chooseAccount = (random: RandomGenerator, weights: readonly number[]): number => {
  let left = uniformFloat64(random) * weights.reduce((sum, weight) => sum + weight, 0);
  const found = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return Math.max(0, found);
};

const createWorkloadRow = (shape: WorkloadShape, account: number): WorkloadRow =>
  workloadRowSchema.parse({
    kind: 'workload',
    id: `${shape.name}-${account}`,
    accountId: toId<ClientAccountId>(`${shape.name}-${account}`),
    model: 'm',
    latencyWeight: shape.latencyWeight,
    recomputeWeight: shape.recomputeWeight,
  });

const createSession = (
  shape: WorkloadShape,
  random: RandomGenerator,
  session: number,
  startMs: number,
  rows: readonly WorkloadRow[],
): TraceRequest[] => {
  const workload = rows[chooseAccount(random, shape.accountWeights)]!;
  const context = sampleLognormal(random, shape.contextTokens);
  let tokens = Math.round(shape.sharedTokens + context);
  let knownTokens = shape.sharedTokens;
  let atMs = startMs;
  const requests: TraceRequest[] = [];
  do {
    const blocks = createBlocks(workload.accountId, session, shape, tokens);
    const returning = requests.length > 0;
    const { outputTokens } = shape;
    requests.push({
      atMs,
      workload,
      blocks,
      promptTokens: tokens,
      knownTokens,
      returning,
      outputTokens,
    });
    knownTokens = tokens;
    tokens += shape.turnTokens;
    atMs += MIN_GAP_MS + sampleLognormal(random, shape.gapMs);
  } while (uniformFloat64(random) < shape.returnShare);
  return requests;
};

/** Generates the requests of a workload over a time, the same for the same shape. */
export const generateTrace = (shape: WorkloadShape, durationMs: number): TraceRequest[] => {
  const random = xoroshiro128plus(shape.seed);
  const rows = shape.accountWeights.map((_, account) => createWorkloadRow(shape, account));
  const trace: TraceRequest[] = [];
  let atMs = 0;
  let session = 0;
  while (atMs < durationMs) {
    const swing = 1 + shape.swing * Math.sin((2 * Math.PI * atMs) / HOUR_MS);
    atMs += (-Math.log(1 - uniformFloat64(random)) / (shape.sessionsPerSecond * swing)) * 1000;
    session += 1;
    trace.push(...createSession(shape, random, session, atMs, rows));
  }
  return trace
    .filter((request) => request.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs);
};
