import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Site, loadSiteSettings } from '../site/index.js';
import type { SiteSettings } from '../site/index.js';
import type { Slope } from './slope.js';

/** Sizes between which the slopes are taken. */
const FEW_ENTRIES = 3;
const MANY_ENTRIES = 9;
const FEW_ENGINES = 6;
const MANY_ENGINES = 30;

const SETTLE_MS = 4_000;
const WATCH_MS = 15_000;
const MS_PER_TICK = 10;
const KB_PER_MB = 1_024;
const USER_TICKS_FIELD = 13;
const SYSTEM_TICKS_FIELD = 14;

interface ProcessReading {
  readonly processorMs: number;
  readonly residentMb: number;
}

/** What an idle entry daemon takes at one size of its site. */
interface IdleCost {
  readonly processorMsPerSecond: number;
  readonly residentMb: number;
  readonly meshBytesPerSecond: number;
}

interface MeshState {
  readonly mesh: { readonly stats: { readonly bytesSent: number; readonly bytesReceived: number } };
}

const readProcess = (pid: number): ProcessReading => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const ticks = Number(stat[USER_TICKS_FIELD]) + Number(stat[SYSTEM_TICKS_FIELD]);
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { processorMs: ticks * MS_PER_TICK, residentMb: residentKb / KB_PER_MB };
};

/** Gives the memory of a runtime that does nothing, in MB. */
const measureBareRuntime = async (): Promise<number> => {
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
    await sleep(WATCH_MS);
    const after = readProcess(pid);
    const bytesAfter = sumMeshBytes(await site.dumpState<MeshState>('entry-1'));
    const seconds = WATCH_MS / 1_000;
    return {
      processorMsPerSecond: (after.processorMs - before.processorMs) / seconds,
      residentMb: after.residentMb,
      meshBytesPerSecond: (bytesAfter - bytesBefore) / seconds,
    };
  } finally {
    await site.stop();
  }
};

const toSlopes = (
  name: string,
  small: IdleCost,
  large: IdleCost,
  count: number,
): readonly Slope[] => [
  {
    name: `daemon: processor a second for one more ${name}`,
    value: (large.processorMsPerSecond - small.processorMsPerSecond) / count,
    unit: 'ms/s',
  },
  {
    name: `daemon: memory for one more ${name}`,
    value: (large.residentMb - small.residentMb) / count,
    unit: 'MB',
  },
  {
    name: `daemon: mesh bytes a second for one more ${name}`,
    value: (large.meshBytesPerSecond - small.meshBytesPerSecond) / count,
    unit: 'B/s',
  },
];

/** Measures an idle entry daemon, and what one more entry VM and one more engine add. */
export const measureDaemon = async (): Promise<readonly Slope[]> => {
  const base = loadSiteSettings(new URL('../../playground/small/site.json', import.meta.url));
  const bareMb = await measureBareRuntime();
  const small = await measureIdleSite(buildSettings(base, FEW_ENTRIES, FEW_ENGINES));
  const entries = await measureIdleSite(buildSettings(base, MANY_ENTRIES, FEW_ENGINES));
  const engines = await measureIdleSite(buildSettings(base, FEW_ENTRIES, MANY_ENGINES));
  const size = `${FEW_ENTRIES} entry VMs, ${FEW_ENGINES} engines`;
  return [
    { name: 'runtime: resident with nothing in it', value: bareMb, unit: 'MB' },
    { name: `daemon: resident at ${size}`, value: small.residentMb, unit: 'MB' },
    { name: `daemon: processor at ${size}`, value: small.processorMsPerSecond, unit: 'ms/s' },
    { name: `daemon: mesh bytes at ${size}`, value: small.meshBytesPerSecond, unit: 'B/s' },
    ...toSlopes('entry VM', small, entries, MANY_ENTRIES - FEW_ENTRIES),
    ...toSlopes('engine', small, engines, MANY_ENGINES - FEW_ENGINES),
  ];
};
