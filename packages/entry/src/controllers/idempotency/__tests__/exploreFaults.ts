import { createIdempotencyKey } from '@goldcrestscale/core';
import { vi } from 'vitest';
import { SimulatedFleet, advanceUntilSettled } from './simulatedFleet.js';
import type {
  ClientResponse,
  ClientRequest,
  Fault,
  PlannedFault,
  FleetOptions,
} from './simulatedFleet.js';

/**
 * Runs small cases with each fault at each step, and checks them against the service's execution
 * count.
 */

export const FAULTS: readonly Fault[] = [
  'killBefore',
  'killAfter',
  'pause',
  'loseResponse',
  'refuse',
  'lateEffect',
];

const CLIENT_TIMEOUT_MS = 3_000;
const RESTART_INTERVAL_MS = 200;
const MAX_SENDS = 4;
const RECOVERY_MS = 40_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Client that retries at the next VM with the same key until the request has run. */
const sendUntilRun = async (
  fleet: SimulatedFleet,
  firstVm: number,
  request: ClientRequest,
): Promise<ClientResponse[]> => {
  const responses: ClientResponse[] = [];
  for (let count = 0; count < MAX_SENDS; count += 1) {
    const late: ClientResponse = { verdict: 'none', status: 0, body: 'late' };
    const sent = fleet.send((firstVm + count) % fleet.vms.length, request);
    const response = await Promise.race([sent, sleep(CLIENT_TIMEOUT_MS).then(() => late)]);
    responses.push(response);
    if (response.verdict === 'ran') return responses;
    await sleep(response.retryAfterMs ?? 100);
  }
  return responses;
};

const restartKilledVms = async (fleet: SimulatedFleet): Promise<void> => {
  while (!fleet.vms.every((vm) => vm.isKilled)) {
    await sleep(RESTART_INTERVAL_MS);
    fleet.vms.filter((vm) => vm.isKilled).forEach((vm) => fleet.startVm(vm.vmId));
  }
};

const findViolations = (fleet: SimulatedFleet, responses: readonly ClientResponse[]): string[] => {
  const runs = fleet.runCounts.get('a') ?? 0;
  const violations: string[] = [];
  if (runs > 1) violations.push(`ran ${runs} times`);
  if (fleet.falseNotRunRefs.length > 0)
    violations.push('not-run verdict from the exchange that ran it');
  if (runs > 0 && responses.every((response) => response.verdict === 'not-run')) {
    violations.push('ran although every verdict was not-run');
  }
  if (runs === 0 && responses.some((response) => response.verdict === 'ran'))
    violations.push('verdict ran without an execution');
  if (responses.some((response) => response.verdict === 'ran' && response.body !== 'ticket a')) {
    violations.push('wrong response');
  }
  return violations;
};

export interface FaultCase {
  readonly faults: readonly PlannedFault[];
  /** VMs to which clients with the same key send their first request at the same time. */
  readonly clientVms: readonly number[];
}

/** Runs one case; returns its violations and the number of steps until all clients were done. */
export const runCase = async (
  { faults, clientVms }: FaultCase,
  options: FleetOptions = {},
): Promise<{ violations: string[]; steps: number; ran: boolean }> => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
  const fleet = new SimulatedFleet(faults, options);
  await vi.advanceTimersByTimeAsync(30);
  void restartKilledVms(fleet);
  const request = { key: createIdempotencyKey(Date.now()), ref: 'a' };
  const calls = clientVms.map((vm) => sendUntilRun(fleet, vm, request));
  const responses = (await advanceUntilSettled(Promise.all(calls))).flat();
  const steps = fleet.stepCount;
  await vi.advanceTimersByTimeAsync(RECOVERY_MS);
  responses.push(await advanceUntilSettled(fleet.send(1, request)));
  const violations = findViolations(fleet, responses);
  fleet.stop();
  vi.clearAllTimers();
  vi.useRealTimers();
  return { violations, steps, ran: responses.some((response) => response.verdict === 'ran') };
};

export interface ExplorationResult {
  readonly cases: number;
  readonly violations: readonly string[];
  /** Cases in which a client received the response of the executed request. */
  readonly answeredCases: number;
}

/** Injects every fault at every step of the fault-free case, for each arrangement of clients. */
export const exploreFaults = async (
  arrangements: readonly (readonly number[])[],
  options: FleetOptions = {},
): Promise<ExplorationResult> => {
  const violations: string[] = [];
  let cases = 0;
  let answeredCases = 0;
  for (const clientVms of arrangements) {
    const { steps } = await runCase({ faults: [], clientVms }, options);
    for (const fault of FAULTS) {
      for (let step = 0; step < steps; step += 1) {
        const { violations: caseViolations, ran } = await runCase(
          { faults: [{ fault, step }], clientVms },
          options,
        );
        cases += 1;
        if (ran) answeredCases += 1;
        caseViolations.forEach((violation) =>
          violations.push(`${clientVms} ${fault} ${step}: ${violation}`),
        );
      }
    }
  }
  return { cases, violations, answeredCases };
};
