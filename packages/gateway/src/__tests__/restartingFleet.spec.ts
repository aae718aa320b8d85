import { setTimeout as pause } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { FakeUpstream, buildResponse } from './fakeUpstream.js';
import { listDeadAddresses, sendCall } from './gatewayHarness.js';
import { bounds, createTestGateway } from './testGateway.js';

const FLEET_SIZE = 7;
const RESTARTED = 4;
const WINDOW_MS = 1_000;
const STEP_MS = 50;
const STEPS = 120;
const RESTART_STEPS = [40, 60];

/** Steps during which VMs that start can't read the heartbeats. */
const DARK_STEPS = { from: 40, until: 100 };

const countBetween = (times: readonly number[], fromMs: number, untilMs: number): number =>
  times.filter((atMs) => atMs > fromMs && atMs <= untilMs).length;

// Guards against repeats beyond the limit now that sends which reached nobody are free, and against
// starting VMs that refuse requests since those are charged.
test('a fleet that restarts among dead upstreams stays within the limit and refuses nothing', async () => {
  const arrivedAtMs = new Map<string, number[]>();
  const sound = Array.from(
    { length: 3 },
    () =>
      new FakeUpstream(({ id, socket }) => {
        arrivedAtMs.set(id, [...(arrivedAtMs.get(id) ?? []), performance.now()]);
        socket.write(buildResponse(500, { 'x-id': id, 'x-sig': 's' }, 'failed'));
      }),
  );
  const addresses = [
    ...listDeadAddresses(3),
    ...(await Promise.all(sound.map((upstream) => upstream.listen()))),
  ];
  let isDark = false;
  const startVm = async (startsDark: boolean) =>
    createTestGateway({
      addresses,
      retryWindowMs: WINDOW_MS,
      retryAllowanceDelayMs: WINDOW_MS,
      countVms: () => (startsDark && isDark ? undefined : FLEET_SIZE),
    });
  const fleet = await Promise.all(Array.from({ length: FLEET_SIZE }, () => startVm(false)));
  onTestFinished(() => {
    fleet.forEach((vm) => vm.close());
    sound.forEach((upstream) => upstream.close());
  });
  const sentAtMs: number[] = [];
  const replies: Promise<number | undefined>[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    isDark = step >= DARK_STEPS.from && step < DARK_STEPS.until;
    if (RESTART_STEPS.includes(step)) {
      for (let vm = 0; vm < RESTARTED; vm += 1) {
        fleet[vm]!.close();
        fleet[vm] = await startVm(true);
      }
    }
    fleet.forEach(({ port }) => {
      sentAtMs.push(performance.now());
      // Requests that their VM's end cuts off get no reply.
      const reply = sendCall(port, {}).then(
        ({ status }) => status,
        () => undefined,
      );
      replies.push(reply);
    });
    await pause(STEP_MS);
  }
  const statuses = (await Promise.all(replies)).filter((status) => status !== undefined);
  expect(statuses.filter((status) => status !== 500)).toEqual([]);

  const repeatedAtMs = [...arrivedAtMs.values()].flatMap((times) => times.slice(1));
  expect(repeatedAtMs.length).toBeGreaterThan(0);
  const excesses = repeatedAtMs.map((endMs) => {
    const sent = [0, WINDOW_MS / 2, WINDOW_MS].map((earlierMs) =>
      countBetween(sentAtMs, endMs - earlierMs - WINDOW_MS, endMs - earlierMs),
    );
    const allowed = Math.max(...sent) * bounds.retryRatio + bounds.retryAllowance;
    return countBetween(repeatedAtMs, endMs - WINDOW_MS, endMs) - allowed;
  });
  expect(Math.max(...excesses)).toBeLessThanOrEqual(0);
}, 30_000);
