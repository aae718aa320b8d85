import type { CompletionWorkload, LoadToolSettings, Workload } from '../config.js';
import { comparePlannedRequests } from './plannedRequest.js';
import type { PlannedRequest } from './plannedRequest.js';
import { createRandomSource } from './randomSource.js';
import type { RandomSource } from './randomSource.js';

const MS_PER_SECOND = 1_000;

/** Settings that the generated requests depend on. */
export type GeneratorSettings = Pick<
  LoadToolSettings,
  'seed' | 'durationMs' | 'maxRequests' | 'gapScale' | 'accounts' | 'workloads'
>;

type Account = GeneratorSettings['accounts'][number];

const pickAccount = (accounts: readonly Account[], random: RandomSource): Account | undefined => {
  const total = accounts.reduce((sum, account) => sum + account.share, 0);
  let remaining = random.nextFloat() * total;
  return accounts.find((account) => {
    remaining -= account.share;
    return remaining < 0;
  });
};

const generateSession = (
  workload: CompletionWorkload,
  first: PlannedRequest,
  settings: GeneratorSettings,
  random: RandomSource,
): PlannedRequest[] => {
  const requests = [first];
  const returns = random.nextGeometric(workload.meanReturns);
  let { atMs, promptTokens } = first;
  for (let turn = 1; turn <= returns; turn += 1) {
    atMs += random.nextExponential(workload.meanGapMs * settings.gapScale);
    if (atMs >= settings.durationMs) break;
    promptTokens = Math.max(
      promptTokens,
      Math.min(promptTokens + workload.growthTokens, workload.maxPromptTokens),
    );
    requests.push({ ...first, atMs, turn, promptTokens });
  }
  return requests;
};

const generateWorkload = (
  workload: Workload,
  settings: GeneratorSettings,
  random: RandomSource,
): PlannedRequest[] => {
  const accounts = settings.accounts.filter(
    ({ id }) => workload.accounts === undefined || workload.accounts.includes(id),
  );
  const requests: PlannedRequest[] = [];
  const meanGapMs = MS_PER_SECOND / workload.ratePerSecond;
  let atMs = random.nextExponential(meanGapMs);
  for (let index = 0; atMs < settings.durationMs; index += 1) {
    const account = pickAccount(accounts, random);
    if (!account || requests.length >= settings.maxRequests) break;
    const session = `${workload.name}-${index}`;
    const shared = { atMs, account: account.id, workload: workload.name, session, turn: 0 };
    if (workload.type === 'service') requests.push({ ...shared, promptTokens: 0 });
    else {
      const { min, max } = workload.promptTokens;
      const first = { ...shared, promptTokens: random.nextInteger(min, max) };
      requests.push(...generateSession(workload, first, settings, random));
    }
    atMs += random.nextExponential(meanGapMs);
  }
  return requests;
};

/**
 * Generates the requests of a run in order of their planned start; deterministic for given
 * settings.
 */
export const generateRequests = (settings: GeneratorSettings): PlannedRequest[] =>
  settings.workloads
    .flatMap((workload) =>
      // Each workload has its own random source, so that changing one does not affect the others.
      generateWorkload(workload, settings, createRandomSource(settings.seed, workload.name)),
    )
    .sort(comparePlannedRequests)
    .slice(0, settings.maxRequests);
