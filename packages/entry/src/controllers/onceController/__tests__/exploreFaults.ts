import { createOnceKey } from '@goldcrestscale/core';
import { vi } from 'vitest';
import { OnceWorld, settleIn } from './onceWorld.js';
import type {
  CallerAnswer,
  CallerRequest,
  Fault,
  PlannedFault,
  WorldOptions,
} from './onceWorld.js';

/** Runs small cases with each fault at each step and judges by the service's own count. */

export const FAULTS: readonly Fault[] = [
  'killBefore',
  'killAfter',
  'freeze',
  'loseAnswer',
  'refuse',
  'lateEffect',
];

const CALLER_TIMEOUT_MS = 3_000;
const RESTART_MS = 200;
const MAX_SENDS = 4;
const AFTERMATH_MS = 40_000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A caller that goes to the next VM with the same key until it has a final answer. */
const callUntilFinal = async (
  world: OnceWorld,
  firstVm: number,
  request: CallerRequest,
): Promise<CallerAnswer[]> => {
  const answers: CallerAnswer[] = [];
  for (let count = 0; count < MAX_SENDS; count += 1) {
    const late: CallerAnswer = { verdict: 'none', status: 0, body: 'late' };
    const sent = world.send((firstVm + count) % world.vms.length, request);
    const answer = await Promise.race([sent, pause(CALLER_TIMEOUT_MS).then(() => late)]);
    answers.push(answer);
    if (answer.verdict === 'ran') return answers;
    await pause(answer.retryAfterMs ?? 100);
  }
  return answers;
};

const restartDead = async (world: OnceWorld): Promise<void> => {
  while (!world.vms.every((vm) => vm.dead)) {
    await pause(RESTART_MS);
    world.vms.filter((vm) => vm.dead).forEach((vm) => world.startVm(vm.vmId));
  }
};

const judge = (world: OnceWorld, answers: readonly CallerAnswer[]): string[] => {
  const runs = world.runs.get('a') ?? 0;
  const problems: string[] = [];
  if (runs > 1) problems.push(`ran ${runs} times`);
  if (world.lies.length > 0) problems.push('told not-run by the exchange that ran it');
  if (runs > 0 && answers.every((answer) => answer.verdict === 'not-run')) {
    problems.push('ran although every answer was not-run');
  }
  if (runs === 0 && answers.some((answer) => answer.verdict === 'ran')) problems.push('never ran');
  if (answers.some((answer) => answer.verdict === 'ran' && answer.body !== 'ticket a')) {
    problems.push('wrong answer');
  }
  return problems;
};

export interface Case {
  readonly faults: readonly PlannedFault[];
  /** VMs at which callers with one key begin at the same time. */
  readonly callers: readonly number[];
}

/** Runs one case; gives what went wrong and how many steps it had until the callers were done. */
export const runCase = async (
  { faults, callers }: Case,
  options: WorldOptions = {},
): Promise<{ problems: string[]; steps: number; ran: boolean }> => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
  const world = new OnceWorld(faults, options);
  await vi.advanceTimersByTimeAsync(30);
  void restartDead(world);
  const request = { key: createOnceKey(Date.now()), ref: 'a' };
  const calls = callers.map((vm) => callUntilFinal(world, vm, request));
  const answers = (await settleIn(Promise.all(calls))).flat();
  const steps = world.stepCount;
  await vi.advanceTimersByTimeAsync(AFTERMATH_MS);
  answers.push(await settleIn(world.send(1, request)));
  const problems = judge(world, answers);
  world.stop();
  vi.clearAllTimers();
  vi.useRealTimers();
  return { problems, steps, ran: answers.some((answer) => answer.verdict === 'ran') };
};

export interface Exploration {
  readonly cases: number;
  readonly violations: readonly string[];
  /** Cases that ended with the request run and its answer given. */
  readonly answered: number;
}

/** Runs every fault at every step of the fault-free case, for each arrangement of callers. */
export const exploreFaults = async (
  arrangements: readonly (readonly number[])[],
  options: WorldOptions = {},
): Promise<Exploration> => {
  const violations: string[] = [];
  let cases = 0;
  let answered = 0;
  for (const callers of arrangements) {
    const { steps } = await runCase({ faults: [], callers }, options);
    for (const fault of FAULTS) {
      for (let step = 0; step < steps; step += 1) {
        const { problems, ran } = await runCase({ faults: [{ fault, step }], callers }, options);
        cases += 1;
        if (ran) answered += 1;
        problems.forEach((problem) => violations.push(`${callers} ${fault} ${step}: ${problem}`));
      }
    }
  }
  return { cases, violations, answered };
};
