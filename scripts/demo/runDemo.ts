import { setTimeout as sleep } from 'node:timers/promises';
import type { Site } from '../site/index.js';
import { LinkMeter } from './linkMeter.js';
import { demoProfiles } from './profiles.js';
import type { DemoStretch, VerdictFacts } from './report.js';
import { DemoTraffic } from './traffic.js';

const FIRST_PROMPTS_MS = 10_000;
const STEADY_MS = 12_000;
const ENTRY_LOST_MS = 4_000;
const ENTRY_RETURN_MS = 5_000;
const VM_LIST_LAG_MS = 1_500;
const ZONE_LEAVE_MS = 4_000;
const ZONE_OUT_MS = 5_000;
const ZONE_BACK_MS = 8_000;

const KILLED_ENTRY = 'entry-2';
const MOVED_ZONE = 'zone-c';

interface EngineCounts {
  readonly completions: number;
  readonly falls: number;
  readonly wrongBlockReads: number;
}

interface ServiceCounts {
  readonly runs: Readonly<Record<string, number>>;
  readonly falls: number;
}

/** Runs the demo's stretches on a started site. */
class DemoRun {
  private readonly traffic: DemoTraffic;

  private readonly stretches: DemoStretch[] = [];

  private workInLeftZone = 0;

  constructor(
    private readonly site: Site,
    private readonly print: (line: string) => void,
  ) {
    this.traffic = new DemoTraffic(site, demoProfiles);
  }

  async run(): Promise<VerdictFacts> {
    const end = new AbortController();
    const traffic = this.traffic.run(end.signal);
    await this.runStretch('first prompts, cold engines', () => sleep(FIRST_PROMPTS_MS));
    await this.runStretch('steady', () => sleep(STEADY_MS));
    await this.runStretch('one entry VM killed', () => this.killEntry());
    await this.runStretch('one zone out', () => this.takeZoneOut());
    await this.runStretch('zone back', () => this.takeZoneBack());
    end.abort();
    await traffic;
    return this.collectFacts();
  }

  private async runStretch(name: string, act: () => Promise<unknown>): Promise<void> {
    this.print(`running: ${name}`);
    const figures = this.traffic.beginStretch();
    const meter = new LinkMeter(this.site);
    await meter.begin();
    await act();
    const { bytes, share } = await meter.measure();
    this.stretches.push({ name, figures, linkBytes: bytes, linkShare: share });
  }

  private async killEntry(): Promise<void> {
    await this.site.kill(KILLED_ENTRY);
    await sleep(VM_LIST_LAG_MS);
    await this.site.removeVm(KILLED_ENTRY);
    await sleep(ENTRY_LOST_MS - VM_LIST_LAG_MS);
    await this.site.restart(KILLED_ENTRY);
    await this.site.setVmState(KILLED_ENTRY, 'live');
    await sleep(ENTRY_RETURN_MS);
  }

  private async takeZoneOut(): Promise<void> {
    await this.site.table.setZone(MOVED_ZONE, 'out');
    await sleep(ZONE_LEAVE_MS);
    const before = await this.countZoneCompletions();
    await sleep(ZONE_OUT_MS);
    this.workInLeftZone = (await this.countZoneCompletions()) - before;
  }

  private async takeZoneBack(): Promise<void> {
    await this.site.table.setZone(MOVED_ZONE, 'in');
    await sleep(ZONE_BACK_MS);
  }

  private async countZoneCompletions(): Promise<number> {
    const { engines } = this.site.settings;
    const moved = engines.filter((vm) => vm.availabilityZone === MOVED_ZONE);
    return (await this.readEngineCounts(moved.map((vm) => vm.vmId))).reduce(
      (sum, counts) => sum + counts.completions,
      0,
    );
  }

  private readEngineCounts(ids: readonly string[]): Promise<EngineCounts[]> {
    return Promise.all(ids.map((id) => this.site.readCounts<EngineCounts>(id)));
  }

  private async collectFacts(): Promise<VerdictFacts> {
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
      stretches: this.stretches,
      judgement: this.traffic.ledger.compare(runs),
      wrongBlockReads: engineCounts.reduce((sum, counts) => sum + counts.wrongBlockReads, 0),
      coldFalls: falls.reduce((sum, count) => sum + count, 0),
      workInLeftZone: this.workInLeftZone,
    };
  }
}

/** Runs the demo on a started site and gives what its verdict rests on. */
export const runDemo = (site: Site, print: (line: string) => void): Promise<VerdictFacts> =>
  new DemoRun(site, print).run();
