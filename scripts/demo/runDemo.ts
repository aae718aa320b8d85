import { setTimeout as sleep } from 'node:timers/promises';
import type { Site } from '../site/index.js';
import { StoreLinkMeter } from './storeLinkMeter.js';
import { demoProfiles } from './demoProfiles.js';
import type { DemoPhase, DemoResult } from './report.js';
import { DemoTraffic } from './demoTraffic.js';

const FIRST_PROMPT_PHASE_MS = 10_000;
const STEADY_PHASE_MS = 12_000;
const ENTRY_DOWN_MS = 4_000;
const ENTRY_RECOVERY_MS = 5_000;
const VM_LIST_LAG_MS = 1_500;
const ZONE_DRAIN_MS = 4_000;
const ZONE_OUT_MS = 5_000;
const ZONE_RECOVERY_MS = 8_000;

const KILLED_ENTRY = 'entry-2';
const DRAINED_ZONE = 'zone-c';

interface EngineCounts {
  readonly completions: number;
  readonly falls: number;
  readonly wrongBlockReads: number;
}

interface ServiceCounts {
  readonly runs: Readonly<Record<string, number>>;
  readonly falls: number;
}

/** Runs the phases of the demo on a started site. */
class DemoRun {
  private readonly traffic: DemoTraffic;

  private readonly phases: DemoPhase[] = [];

  private requestsInDrainedZone = 0;

  constructor(
    private readonly site: Site,
    private readonly print: (line: string) => void,
  ) {
    this.traffic = new DemoTraffic(site, demoProfiles);
  }

  async run(): Promise<DemoResult> {
    const stopping = new AbortController();
    const traffic = this.traffic.run(stopping.signal);
    await this.runPhase('first prompts, cold engines', () => sleep(FIRST_PROMPT_PHASE_MS));
    await this.runPhase('steady state', () => sleep(STEADY_PHASE_MS));
    await this.runPhase('one entry VM killed', () => this.killEntry());
    await this.runPhase('one zone out of service', () => this.drainZone());
    await this.runPhase('zone back in service', () => this.resumeZone());
    stopping.abort();
    await traffic;
    return this.collectResult();
  }

  private async runPhase(name: string, action: () => Promise<unknown>): Promise<void> {
    this.print(`phase: ${name}`);
    const metrics = this.traffic.startPhase();
    const meter = new StoreLinkMeter(this.site);
    await meter.begin();
    await action();
    const { bytes, utilization } = await meter.measure();
    this.phases.push({ name, metrics, linkBytes: bytes, linkUtilization: utilization });
  }

  private async killEntry(): Promise<void> {
    await this.site.kill(KILLED_ENTRY);
    await sleep(VM_LIST_LAG_MS);
    await this.site.removeVm(KILLED_ENTRY);
    await sleep(ENTRY_DOWN_MS - VM_LIST_LAG_MS);
    await this.site.restart(KILLED_ENTRY);
    await this.site.setVmState(KILLED_ENTRY, 'live');
    await sleep(ENTRY_RECOVERY_MS);
  }

  private async drainZone(): Promise<void> {
    await this.site.table.setZone(DRAINED_ZONE, 'out');
    await sleep(ZONE_DRAIN_MS);
    const before = await this.countZoneCompletions();
    await sleep(ZONE_OUT_MS);
    this.requestsInDrainedZone = (await this.countZoneCompletions()) - before;
  }

  private async resumeZone(): Promise<void> {
    await this.site.table.setZone(DRAINED_ZONE, 'in');
    await sleep(ZONE_RECOVERY_MS);
  }

  private async countZoneCompletions(): Promise<number> {
    const { engines } = this.site.settings;
    const drainedEngines = engines.filter((vm) => vm.availabilityZone === DRAINED_ZONE);
    return (await this.readEngineCounts(drainedEngines.map((vm) => vm.vmId))).reduce(
      (sum, counts) => sum + counts.completions,
      0,
    );
  }

  private readEngineCounts(ids: readonly string[]): Promise<EngineCounts[]> {
    return Promise.all(ids.map((id) => this.site.readCounts<EngineCounts>(id)));
  }

  private async collectResult(): Promise<DemoResult> {
    const { engines, services } = this.site.settings;
    const engineCounts = await this.readEngineCounts(engines.map((vm) => vm.vmId));
    const serviceCounts = await Promise.all(
      services.map((vm) => this.site.readCounts<ServiceCounts>(vm.vmId)),
    );
    const runs = Object.assign({}, ...serviceCounts.map((counts) => counts.runs)) as Record<
      string,
      number
    >;
    const falls = [...engineCounts, ...serviceCounts].map((counts) => counts.falls);
    return {
      phases: this.phases,
      nonIdempotentCalls: this.traffic.tracker.compareWithRuns(runs),
      wrongBlockReads: engineCounts.reduce((sum, counts) => sum + counts.wrongBlockReads, 0),
      coldCrashes: falls.reduce((sum, count) => sum + count, 0),
      requestsInDrainedZone: this.requestsInDrainedZone,
    };
  }
}

/** Runs the demo on a started site and returns the results for its verdict. */
export const runDemo = (site: Site, print: (line: string) => void): Promise<DemoResult> =>
  new DemoRun(site, print).run();
