import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { PeerLoads, ServiceSpeed, TrackedUpstream } from '../index.js';
import { makeUpstream } from './fixtures.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const USUAL_MS = 80;
const TOKENS = 5_000;
const ROUND_MS = 200;

/** Estimates the slowdown of each engine of a service from its answers. */
abstract class SlowdownEstimates {
  abstract record(index: number, slowdown: number, reported: number | undefined): void;

  abstract get(index: number): number;
}

/** The estimates of the product. */
class ProductEstimates extends SlowdownEstimates {
  private readonly serviceSpeed = new ServiceSpeed();

  readonly engines: readonly TrackedUpstream[];

  constructor(count: number) {
    super();
    const peerLoads = new PeerLoads(1_000);
    this.engines = Array.from(
      { length: count },
      (_, index) => new TrackedUpstream(makeUpstream(`e${index}`), peerLoads, this.serviceSpeed),
    );
  }

  override record(index: number, slowdown: number, reported: number | undefined): void {
    const elapsedMs = USUAL_MS * slowdown;
    const sample = { reported, kind: 'prefill', units: TOKENS, elapsedMs };
    this.engines[index]!.speed.recordAnswer(sample);
  }

  override get(index: number): number {
    return this.engines[index]!.slowdown;
  }
}

/** One mean for all engines, as before. */
class OneMean extends SlowdownEstimates {
  override record(): void {}

  override get(): number {
    return 1;
  }
}

/** Believes what each engine says, and for as long as it says nothing else. */
class LastReports extends SlowdownEstimates {
  private readonly reports = new Map<number, number>();

  override record(index: number, _: number, reported: number | undefined): void {
    this.reports.set(index, reported ?? 1);
  }

  override get(index: number): number {
    return this.reports.get(index) ?? 1;
  }
}

interface Scenario {
  readonly engines: number;
  readonly rounds: number;
  readonly getSlowdown: (index: number, round: number) => number;
  readonly report?: (slowdown: number, index: number) => number | undefined;
  readonly onRound?: (round: number) => void;
}

/** Plays answers of all engines in turn, as one VM gets them. */
const play = (estimates: SlowdownEstimates, scenario: Scenario): void => {
  const { engines, rounds, getSlowdown, report, onRound } = scenario;
  for (let round = 0; round < rounds; round += 1) {
    for (let index = 0; index < engines; index += 1) {
      const slowdown = getSlowdown(index, round);
      estimates.record(index, slowdown, report ? report(slowdown, index) : slowdown);
      vi.advanceTimersByTime(ROUND_MS / engines);
    }
    onRound?.(round);
  }
};

const isNear = (estimate: number, slowdown: number): boolean =>
  Math.abs(Math.log(estimate / slowdown)) < Math.log(1.7);

/** Lists the engines whose estimate is far from the truth. */
const listWrong = (
  estimates: SlowdownEstimates,
  { engines, getSlowdown }: Scenario,
  round = 0,
): readonly number[] =>
  Array.from({ length: engines }, (_, index) => index).filter(
    (index) => !isNear(estimates.get(index), getSlowdown(index, round)),
  );

test('one engine of 60 turns slow by 3.5 and is known within a second', () => {
  const isSlow = (index: number, round: number): boolean => index === 7 && round >= 5;
  const scenario: Scenario = {
    engines: 60,
    rounds: 10,
    getSlowdown: (index, round) => (isSlow(index, round) ? 3.5 : 1),
  };
  const [product, naive] = [new ProductEstimates(60), new OneMean()];
  play(product, scenario);
  expect(listWrong(product, scenario, 9)).toEqual([]);
  play(naive, scenario);
  expect(listWrong(naive, scenario, 9)).toEqual([7]);
});

test('an engine that is slow for long stays known between rare answers, and is forgotten', () => {
  const product = new ProductEstimates(10);
  const scenario: Scenario = {
    engines: 10,
    rounds: 12,
    getSlowdown: (index) => (index === 0 ? 3.5 : 1),
    onRound: () => vi.advanceTimersByTime(1_300),
  };
  play(product, scenario);
  expect(product.get(0)).toBeGreaterThan(1.7);
  expect(product.engines[0]!.lastingSlowdown).toBeGreaterThan(1.7);
  vi.advanceTimersByTime(30_000);
  expect(product.get(0)).toBe(1);
  const naive = new LastReports();
  play(naive, scenario);
  vi.advanceTimersByTime(30_000);
  expect(naive.get(0)).toBe(3.5);
});

test('noise that comes and goes each 600 ms is followed, and leaves no mark', () => {
  const getSlowdown = (index: number, round: number): number =>
    (index + Math.floor(round / 3)) % 7 === 0 ? 2.5 : 1;
  const countWrong = (estimates: SlowdownEstimates): number => {
    let wrong = 0;
    const scenario: Scenario = {
      engines: 21,
      rounds: 60,
      getSlowdown,
      onRound(round) {
        if (round > 6 && round % 3 === 2) wrong += listWrong(estimates, scenario, round).length;
      },
    };
    play(estimates, scenario);
    return wrong;
  };
  const product = new ProductEstimates(21);
  expect(countWrong(product)).toBe(0);
  product.engines.forEach(({ lastingSlowdown }) => expect(lastingSlowdown).toBeLessThan(1.25));
  vi.advanceTimersByTime(2_000);
  product.engines.forEach(({ slowdown }) => expect(slowdown).toBeLessThan(1.2));
  expect(countWrong(new OneMean())).toBeGreaterThan(50);
  const naive = new LastReports();
  countWrong(naive);
  vi.advanceTimersByTime(2_000);
  expect([...Array(21).keys()].map((index) => naive.get(index))).toContain(2.5);
});

test('engines that lie about their slowdown are judged by their answers', () => {
  const lies = new Map([
    [0, 0.1],
    [1, 1],
    [2, 9],
  ]);
  const scenario: Scenario = {
    engines: 20,
    rounds: 20,
    getSlowdown: (index) => (index < 2 ? 3.5 : 1),
    report: (slowdown, index) => lies.get(index) ?? slowdown,
  };
  const [product, naive] = [new ProductEstimates(20), new LastReports()];
  play(product, scenario);
  expect(listWrong(product, scenario)).toEqual([]);
  play(naive, scenario);
  expect(listWrong(naive, scenario)).toEqual([0, 1, 2]);
});

test('no engine gains by the report that it is fast, where nothing else is known', () => {
  const product = new ProductEstimates(20);
  for (let round = 0; round < 10; round += 1) {
    product.engines.forEach(({ speed }, index) => {
      const reported = index === 0 ? 0.01 : 1;
      speed.recordAnswer({ reported, kind: 'prefill', units: 0, elapsedMs: 9 });
    });
    vi.advanceTimersByTime(100);
  }
  expect(product.get(0)).toBe(1);
});

test('an engine that answers nothing for a second is slow before an answer tells', () => {
  const scenario: Scenario = { engines: 10, rounds: 5, getSlowdown: () => 1 };
  const [product, naive] = [new ProductEstimates(10), new LastReports()];
  play(product, scenario);
  play(naive, scenario);
  const { speed } = product.engines[3]!;
  speed.recordSend(USUAL_MS);
  vi.advanceTimersByTime(150);
  expect(product.get(3)).toBe(1);
  vi.advanceTimersByTime(850);
  expect(product.get(3)).toBeGreaterThan(2);
  expect(naive.get(3)).toBe(1);
  speed.recordWaitEnd(true);
  expect(product.get(3)).toBe(1);
});

test('a load that slows all engines makes none of them slow', () => {
  const product = new ProductEstimates(10);
  play(product, { engines: 10, rounds: 5, getSlowdown: () => 1 });
  play(product, { engines: 10, rounds: 40, getSlowdown: () => 6, report: () => 1 });
  product.engines.forEach(({ speed }) => speed.recordSend(USUAL_MS));
  vi.advanceTimersByTime(USUAL_MS * 6);
  product.engines.forEach(({ slowdown }) => expect(slowdown).toBeLessThan(1.3));
});

test('answers that depend on what else an engine does leave an honest report as it is', () => {
  const product = new ProductEstimates(20);
  for (let round = 0; round < 20; round += 1) {
    product.engines.forEach(({ speed }, index) => {
      const elapsedMs = USUAL_MS * (0.7 + ((index * 7 + round * round) % 11) / 12);
      speed.recordAnswer({ reported: 1, kind: 'prefill', units: TOKENS, elapsedMs });
    });
    vi.advanceTimersByTime(ROUND_MS);
  }
  product.engines.forEach(({ slowdown }) => expect(slowdown).toBe(1));
});

test('a restarted engine begins as usual', () => {
  const product = new ProductEstimates(10);
  play(product, { engines: 10, rounds: 5, getSlowdown: (index) => (index === 0 ? 3.5 : 1) });
  expect(product.get(0)).toBeGreaterThan(2);
  product.engines[0]!.update(makeUpstream('e0', { startedAtMs: 2_000 }));
  expect(product.get(0)).toBe(1);
});

test('upstreams of a service that reports no slowdown are all alike, as before', () => {
  const product = new ProductEstimates(10);
  play(product, {
    engines: 10,
    rounds: 10,
    getSlowdown: (index) => (index === 0 ? 3.5 : 1),
    report: () => undefined,
  });
  expect(product.get(0)).toBe(1);
});
