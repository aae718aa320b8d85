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

/** Parameters of a synthetic workload of returning prompts. */
export interface WorkloadParameters {
  readonly name: string;
  readonly seed: number;
  /** Relative request rates of the client accounts. */
  readonly accountWeights: readonly number[];
  /** Mean rate of new sessions. */
  readonly sessionsPerSecond: number;
  /** Relative amplitude of the arrival rate's sine wave, which has a period of one hour. */
  readonly rateAmplitude: number;
  /** Probability that a prompt returns after each request. */
  readonly returnProbability: number;
  readonly gapMs: Lognormal;
  /** Length of the prefix that all prompts of an account share. */
  readonly sharedPrefixTokens: number;
  readonly contextTokens: Lognormal;
  /** Tokens added to the prompt by each return. */
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
  /** Prompt tokens that an earlier request has already computed. */
  readonly previouslyComputedTokens: number;
  readonly isReturning: boolean;
  readonly outputTokens: number;
}

const HOUR_MS = 3_600_000;
const MIN_GAP_MS = 15_000;
const KEY_BYTES = 24;
const TAG_BYTES = 4;

const sampleNormal = (random: RandomGenerator): number =>
  Math.sqrt(-2 * Math.log(1 - uniformFloat64(random))) *
  Math.cos(2 * Math.PI * uniformFloat64(random));

const sampleLognormal = (random: RandomGenerator, distribution: Lognormal): number =>
  distribution.median * Math.exp(distribution.sigma * sampleNormal(random));

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
  parameters: WorkloadParameters,
  tokens: number,
): PromptBlock[] => {
  const sharedBlockCount = Math.floor(parameters.sharedPrefixTokens / BLOCK_TOKENS);
  return Array.from({ length: Math.floor(tokens / BLOCK_TOKENS) }, (_, i) => ({
    key: createKey(account, i < sharedBlockCount ? `shared/${i}` : `${session}/${i}`),
    tokens: BLOCK_TOKENS,
  }));
};

const chooseAccount = (random: RandomGenerator, weights: readonly number[]): number => {
  let remainingWeight = uniformFloat64(random) * weights.reduce((sum, weight) => sum + weight, 0);
  const accountIndex = weights.findIndex((weight) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return Math.max(0, accountIndex);
};

const createWorkloadRow = (parameters: WorkloadParameters, account: number): WorkloadRow =>
  workloadRowSchema.parse({
    kind: 'workload',
    id: `${parameters.name}-${account}`,
    accountId: toId<ClientAccountId>(`${parameters.name}-${account}`),
    model: 'm',
    latencyWeight: parameters.latencyWeight,
    recomputeWeight: parameters.recomputeWeight,
  });

const createSession = (
  parameters: WorkloadParameters,
  random: RandomGenerator,
  session: number,
  startMs: number,
  rows: readonly WorkloadRow[],
): TraceRequest[] => {
  const workload = rows[chooseAccount(random, parameters.accountWeights)]!;
  const contextTokens = sampleLognormal(random, parameters.contextTokens);
  let tokens = Math.round(parameters.sharedPrefixTokens + contextTokens);
  let knownTokens = parameters.sharedPrefixTokens;
  let atMs = startMs;
  const requests: TraceRequest[] = [];
  do {
    const blocks = createBlocks(workload.accountId, session, parameters, tokens);
    const returning = requests.length > 0;
    const { outputTokens } = parameters;
    requests.push({
      atMs,
      workload,
      blocks,
      promptTokens: tokens,
      previouslyComputedTokens: knownTokens,
      isReturning: returning,
      outputTokens,
    });
    knownTokens = tokens;
    tokens += parameters.turnTokens;
    atMs += MIN_GAP_MS + sampleLognormal(random, parameters.gapMs);
  } while (uniformFloat64(random) < parameters.returnProbability);
  return requests;
};

/** Generates the requests of a workload in order of arrival; deterministic for the same parameters. */
export const generateTrace = (
  parameters: WorkloadParameters,
  durationMs: number,
): TraceRequest[] => {
  const random = xoroshiro128plus(parameters.seed);
  const rows = parameters.accountWeights.map((_, account) =>
    createWorkloadRow(parameters, account),
  );
  const trace: TraceRequest[] = [];
  let atMs = 0;
  let session = 0;
  while (atMs < durationMs) {
    const rateFactor = 1 + parameters.rateAmplitude * Math.sin((2 * Math.PI * atMs) / HOUR_MS);
    atMs +=
      (-Math.log(1 - uniformFloat64(random)) / (parameters.sessionsPerSecond * rateFactor)) * 1000;
    session += 1;
    trace.push(...createSession(parameters, random, session, atMs, rows));
  }
  return trace
    .filter((request) => request.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs);
};
