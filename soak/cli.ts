import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { checkHistory, computeStallShare, decideVerdict, listBreaches } from './checks/index.js';
import type { Verdict } from './checks/index.js';
import type { DaemonCommand } from './daemonProcess.js';
import { drawFaultPlan, FULL_SHAPE, SHORT_SHAPE } from './faultPlan.js';
import type { PlanShape } from './faultPlan.js';
import type { Finding, SoakBounds, SoakHistory } from './history.js';
import { SoakRun } from './soakRun.js';

/** Runs seeds of the soak; exits with 1 if one of them broke a rule, or could not be judged. */

const MS_PER_MINUTE = 60_000;

const MAX_CONCURRENT = 4;

const CPU_TRIALS = 3;

const PERCENT = 100;

/** A seed that can't be judged is repeated twice. */
const MAX_PLAYS = 3;

const root = fileURLToPath(new URL('..', import.meta.url));

/** Reads the daemon's command from the deploy file. */
const readCommand = (): DaemonCommand => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, words = ''] = /^run = "node (.*)"$/m.exec(text) ?? [];
  const parts = words.split(' ');
  return { flags: parts.slice(0, -1), program: join(root, parts.at(-1) ?? '') };
};

/** Processor time of the runtime's start, before it runs the first line of a program. */
const measureRuntimeStart = ({ flags }: DaemonCommand): number => {
  const script = 'const {user,system}=process.cpuUsage();console.log((user+system)/1000)';
  const samples = Array.from({ length: CPU_TRIALS }, () =>
    Number(execFileSync(process.execPath, [...flags, '-e', script], { encoding: 'utf8' })),
  );
  return Math.max(...samples);
};

const createBounds = (command: DaemonCommand): SoakBounds => ({
  shutdownMs: 8_000,
  lossSlackMs: 200,
  applyMs: 2_000,
  drainMs: 2_000,
  stableMs: 3_000,
  readyMs: 8_000,
  recoverMs: 12_000,
  memoryMb: 200,
  routeTimeoutMs: 10_000,
  runtimeStartCpuMs: measureRuntimeStart(command),
});

/** Seeds that failed once, from a file with a line `SEED CAUSE` or `short SEED CAUSE` for each. */
const readKnownSeeds = (isShort: boolean): readonly number[] => {
  const pattern = isShort ? /^short (\d+)/ : /^(\d+)/;
  return readFileSync(join(root, 'soak/seeds.txt'), 'utf8')
    .split('\n')
    .flatMap((line) => pattern.exec(line)?.[1] ?? [])
    .map(Number);
};

const countByRule = (findings: readonly Finding[]): string => {
  const counts = new Map<string, number>();
  findings.forEach(({ rule }) => counts.set(rule, (counts.get(rule) ?? 0) + 1));
  return [...counts].map(([rule, count]) => `${rule} ${count}`).join(', ') || 'no finding';
};

const describeHistory = (history: SoakHistory): string => {
  const { requests, runs, lives } = history;
  const answered = requests.filter(({ end }) => end?.type === 'answered');
  const served = answered.filter(({ end }) => end?.type === 'answered' && end.answer.status < 300);
  const peakMb = Math.max(...lives.map(({ peakMemoryMb }) => peakMemoryMb));
  return (
    `${requests.length} requests, ${served.length} served, ${answered.length} answered, ` +
    `${runs.length} runs, ${lives.length} processes, peak ${Math.round(peakMb)} MB, ` +
    `stood still ${Math.round(computeStallShare(history) * PERCENT)} %`
  );
};

const VERDICTS: Readonly<Record<Verdict, string>> = {
  clean: 'clean',
  failed: 'failed',
  notJudged: 'not judged',
};

const running = new Set<SoakRun>();

/** What all seeds of a run share. */
interface SeedOptions {
  readonly command: DaemonCommand;
  readonly bounds: SoakBounds;
  readonly shape: PlanShape;
  readonly folder: string;
}

const runPlay = async (
  seed: number,
  { command, bounds, shape, folder: parent }: SeedOptions,
): Promise<Verdict> => {
  const folder = join(parent, `seed-${seed}`);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const plan = drawFaultPlan(seed, shape);
  const run = new SoakRun(plan, { command, bounds, folder });
  running.add(run);
  const history = await run.run().finally(() => {
    run.kill();
    running.delete(run);
  });
  const findings = checkHistory(history, bounds);
  const verdict = decideVerdict(history, findings);
  console.log(
    `seed ${seed}: ${VERDICTS[verdict]}, ${countByRule(findings)}; ${describeHistory(history)}`,
  );
  const faults = listBreaches(findings);
  faults.slice(0, 20).forEach(({ rule, vmId, atMs, text }) => {
    console.log(`  ${rule} ${vmId} at ${Math.round(atMs)} ms: ${text}`);
  });
  if (faults.length === 0) rmSync(folder, { recursive: true });
  else {
    writeFileSync(join(folder, 'history.json'), JSON.stringify({ plan, findings, history }));
    console.log(`  plan, history and output of the processes: ${folder}`);
  }
  return verdict;
};

/** Plays a seed again while the machine is too busy to judge it. */
const runSeed = async (seed: number, options: SeedOptions): Promise<Verdict> => {
  for (let plays = 1; plays < MAX_PLAYS; plays += 1) {
    const verdict = await runPlay(seed, options);
    if (verdict !== 'notJudged') return verdict;
  }
  return runPlay(seed, options);
};

const main = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      seeds: { type: 'string', default: '1' },
      first: { type: 'string', default: '1' },
      seed: { type: 'string' },
      short: { type: 'boolean', default: false },
      known: { type: 'boolean', default: false },
      minutes: { type: 'string', default: '600' },
      concurrent: { type: 'string', default: '1' },
      folder: { type: 'string' },
    },
  });
  const drawn =
    values.seed?.split(',').map(Number) ??
    Array.from({ length: Number(values.seeds) }, (_value, index) => Number(values.first) + index);
  const deadlineAtMs = performance.now() + Number(values.minutes) * MS_PER_MINUTE;
  const command = readCommand();
  const options = {
    command,
    bounds: createBounds(command),
    shape: values.short ? SHORT_SHAPE : FULL_SHAPE,
    folder: values.folder ?? mkdtempSync(join(tmpdir(), 'goldcrest-soak-')),
  };
  const seeds = values.known ? [...readKnownSeeds(values.short)] : drawn;
  const unclean: string[] = [];
  let played = 0;
  const runWorker = async (): Promise<void> => {
    while (performance.now() < deadlineAtMs) {
      const seed = seeds.shift();
      if (seed === undefined) return;
      const verdict = await runSeed(seed, options);
      played += 1;
      if (verdict !== 'clean') unclean.push(`${seed} ${VERDICTS[verdict]}`);
    }
  };
  const workers = Math.min(MAX_CONCURRENT, Number(values.concurrent));
  await Promise.all(Array.from({ length: workers }, runWorker));
  console.log(`${played} seeds, ${unclean.length} not clean: ${unclean.join(', ') || 'none'}`);
  process.exit(unclean.length === 0 && played > 0 ? 0 : 1);
};

const killAll = (): void => running.forEach((run) => run.kill());
process.once('exit', killAll);
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => {
  process.once(signal, () => {
    killAll();
    process.exit(1);
  });
});

main().catch((cause: unknown) => {
  console.error(cause);
  process.exit(1);
});
