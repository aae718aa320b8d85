import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Site, loadSiteSettings } from '../site/index.js';
import type { SiteSettings } from '../site/index.js';
import type { MarginalCost } from './marginalCost.js';

/** Site sizes whose difference gives the marginal costs. */
const BASE_ENTRY_COUNT = 3;
const LARGE_ENTRY_COUNT = 9;
const BASE_ENGINE_COUNT = 6;
const LARGE_ENGINE_COUNT = 30;

const SETTLE_MS = 4_000;
const SAMPLING_MS = 15_000;
const MS_PER_TICK = 10;
const KB_PER_MB = 1_024;
const USER_TICKS_FIELD = 13;
const SYSTEM_TICKS_FIELD = 14;

interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Resource use of an idle entry daemon at one site size. */
interface IdleCost {
  readonly cpuMsPerSecond: number;
  readonly residentMb: number;
  readonly meshBytesPerSecond: number;
}

interface MeshState {
  readonly mesh: { readonly stats: { readonly bytesSent: number; readonly bytesReceived: number } };
}

const readProcess = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const ticks = Number(stat[USER_TICKS_FIELD]) + Number(stat[SYSTEM_TICKS_FIELD]);
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { cpuMs: ticks * MS_PER_TICK, residentMb: residentKb / KB_PER_MB };
};

/** Measures the resident memory of an idle Node.js process. */
const measureEmptyProcessMb = async (): Promise<number> => {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  await sleep(SETTLE_MS);
  const { residentMb } = readProcess(child.pid ?? 0);
  child.kill();
  return residentMb;
};

const buildSettings = (
  base: SiteSettings,
  entryCount: number,
  engineCount: number,
): SiteSettings => {
  const zones = base.entries.map((vm) => vm.availabilityZone);
  const pickZone = (index: number): string => zones[index % zones.length] ?? 'zone-a';
  const rowKinds = new Set(['zone', 'model', 'service', 'account', 'workload']);
  return {
    ...base,
    entries: Array.from({ length: entryCount }, (_, index) => ({
      vmId: `entry-${index + 1}`,
      availabilityZone: pickZone(index),
      settings: {},
    })),
    engines: Array.from({ length: engineCount }, (_, index) => ({
      vmId: `engine-${index + 1}`,
      availabilityZone: pickZone(index),
      settings: {},
    })),
    table: base.table.filter((row) => rowKinds.has(String(row.kind))),
  };
};

const sumMeshBytes = ({ mesh }: MeshState): number =>
  mesh.stats.bytesSent + mesh.stats.bytesReceived;

const measureIdleSite = async (settings: SiteSettings): Promise<IdleCost> => {
  const site = new Site(settings);
  try {
    await site.start();
    await sleep(SETTLE_MS);
    const { pid } = site.getProcess('entry-1');
    const before = readProcess(pid);
    const bytesBefore = sumMeshBytes(await site.dumpState<MeshState>('entry-1'));
    await sleep(SAMPLING_MS);
    const after = readProcess(pid);
    const bytesAfter = sumMeshBytes(await site.dumpState<MeshState>('entry-1'));
    const seconds = SAMPLING_MS / 1_000;
    return {
      cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds,
      residentMb: after.residentMb,
      meshBytesPerSecond: (bytesAfter - bytesBefore) / seconds,
    };
  } finally {
    await site.stop();
  }
};

const buildMarginalCosts = (
  name: string,
  base: IdleCost,
  grown: IdleCost,
  addedCount: number,
): readonly MarginalCost[] => [
  {
    name: `daemon: CPU time per second for each additional ${name}`,
    value: (grown.cpuMsPerSecond - base.cpuMsPerSecond) / addedCount,
    unit: 'ms/s',
  },
  {
    name: `daemon: memory for each additional ${name}`,
    value: (grown.residentMb - base.residentMb) / addedCount,
    unit: 'MB',
  },
  {
    name: `daemon: mesh bytes per second for each additional ${name}`,
    value: (grown.meshBytesPerSecond - base.meshBytesPerSecond) / addedCount,
    unit: 'B/s',
  },
];

/** Measures an idle entry daemon, and what each additional entry VM and engine costs it. */
export const measureDaemon = async (): Promise<readonly MarginalCost[]> => {
  const settings = loadSiteSettings(new URL('../../playground/small/site.json', import.meta.url));
  const emptyProcessMb = await measureEmptyProcessMb();
  const base = await measureIdleSite(buildSettings(settings, BASE_ENTRY_COUNT, BASE_ENGINE_COUNT));
  const manyEntries = await measureIdleSite(
    buildSettings(settings, LARGE_ENTRY_COUNT, BASE_ENGINE_COUNT),
  );
  const manyEngines = await measureIdleSite(
    buildSettings(settings, BASE_ENTRY_COUNT, LARGE_ENGINE_COUNT),
  );
  const size = `${BASE_ENTRY_COUNT} entry VMs, ${BASE_ENGINE_COUNT} engines`;
  return [
    { name: 'runtime: resident memory of an empty process', value: emptyProcessMb, unit: 'MB' },
    { name: `daemon: resident memory at ${size}`, value: base.residentMb, unit: 'MB' },
    { name: `daemon: CPU time at ${size}`, value: base.cpuMsPerSecond, unit: 'ms/s' },
    { name: `daemon: mesh traffic at ${size}`, value: base.meshBytesPerSecond, unit: 'B/s' },
    ...buildMarginalCosts('entry VM', base, manyEntries, LARGE_ENTRY_COUNT - BASE_ENTRY_COUNT),
    ...buildMarginalCosts('engine', base, manyEngines, LARGE_ENGINE_COUNT - BASE_ENGINE_COUNT),
  ];
};
