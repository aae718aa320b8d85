import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { VmRecord } from '@goldcrestscale/core';
import { findFreePorts } from '@goldcrestscale/runtime';
import { createEntryProcess } from './entryProcess.js';
import type { PlatformUrls, SiteSecrets } from './entryProcess.js';
import { requestJson, waitUntil } from './httpJson.js';
import { createStandInProcess } from './standInProcess.js';
import type { ProcessExit, SiteProcess } from './siteProcess.js';
import { buildVmRecord } from './siteSettings.js';
import type { SiteSettings, SiteVm } from './siteSettings.js';
import { SiteTable } from './siteTable.js';

const PORTS_PER_ENTRY_VM = 3;
const PLATFORM_IDS = ['log', 'vmlist', 'weights'] as const;

const createSecrets = (): SiteSecrets => ({
  operationsKey: randomBytes(16).toString('hex'),
  meshSecret: randomBytes(32).toString('hex'),
  fleetSecret: randomBytes(32).toString('hex'),
});

/** A complete site on the loopback address: one process for each VM and platform service. */
export class Site {
  readonly secrets = createSecrets();

  private readonly processes = new Map<string, SiteProcess>();

  private readonly records = new Map<string, VmRecord>();

  private readonly operationsUrls = new Map<string, string>();

  private readonly folder = mkdtempSync(join(tmpdir(), 'goldcrest-site-'));

  private readonly killOnExit = (): void => this.killAll();

  private siteTable: SiteTable | undefined;

  constructor(readonly settings: SiteSettings) {
    process.once('exit', this.killOnExit);
  }

  /** Configuration table; available once the log has started. */
  get table(): SiteTable {
    if (!this.siteTable) throw new Error('the site has not started');
    return this.siteTable;
  }

  /** Client-facing addresses of the entry VMs. */
  get entryAddresses(): string[] {
    return this.settings.entries.map((vm) => this.getAddress(vm.vmId));
  }

  /** Starts every process and waits until each is ready. */
  async start(): Promise<void> {
    await this.startPlatform();
    this.siteTable = new SiteTable(this.getUrl('log'));
    await this.siteTable.putRows(this.settings.table);
    await this.startUpstreams();
    await this.startEntries();
  }

  getProcess(id: string): SiteProcess {
    const found = this.processes.get(id);
    if (!found) throw new Error(`no process ${id}`);
    return found;
  }

  getUrl(id: string): string {
    return this.getProcess(id).url;
  }

  /** Returns the host and port of a process. */
  getAddress(id: string): string {
    return new URL(this.getUrl(id)).host;
  }

  /** Kills a process with SIGKILL, which simulates the loss of its VM. */
  async kill(id: string): Promise<ProcessExit> {
    this.getProcess(id).sendSignal('SIGKILL');
    return this.getProcess(id).waitForExit();
  }

  /** Suspends a process with SIGSTOP, which simulates a paused VM. */
  pause(id: string): void {
    this.getProcess(id).sendSignal('SIGSTOP');
  }

  resume(id: string): void {
    this.getProcess(id).sendSignal('SIGCONT');
  }

  /** Shuts a process down gracefully with SIGTERM and waits for its exit. */
  async shutdown(id: string): Promise<ProcessExit> {
    this.getProcess(id).sendSignal('SIGTERM');
    return this.getProcess(id).waitForExit();
  }

  /** Restarts an exited process with the same settings and waits until it is ready. */
  async restart(id: string): Promise<void> {
    await this.startProcess(this.getProcess(id));
  }

  /** Sets the named fault injections of a stand-in; others are unchanged. */
  async setFaults(id: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await requestJson(`${this.getUrl(id)}/faults`, 'POST', faults);
  }

  /** Reads the counters of a stand-in. */
  readCounts<Counts>(id: string): Promise<Counts> {
    return requestJson<Counts>(`${this.getUrl(id)}/counts`);
  }

  /** Reads the block manifest of a store VM. */
  readManifest<Manifest>(id: string): Promise<Manifest> {
    return requestJson<Manifest>(`${this.getUrl(id)}/manifest`);
  }

  /** Reads the state dump of an entry VM. */
  dumpState<State = unknown>(id: string): Promise<State> {
    return requestJson<State>(`${this.operationsUrls.get(id)}/state`, 'GET', undefined, {
      authorization: `Bearer ${this.secrets.operationsKey}`,
    });
  }

  /** Changes a VM's state in the VM list. */
  async setVmState(id: string, state: VmRecord['state']): Promise<void> {
    const record = this.records.get(id);
    if (!record) throw new Error(`no VM ${id}`);
    await this.putVm({ ...record, state });
  }

  /** Removes a VM from the VM list. */
  async removeVm(id: string): Promise<void> {
    await requestJson(`${this.getUrl('vmlist')}/vms/${id}`, 'DELETE');
  }

  /** Kills every process and removes the settings files. */
  async stop(): Promise<void> {
    this.killAll();
    await Promise.all([...this.processes.values()].map((siteProcess) => siteProcess.waitForExit()));
    process.off('exit', this.killOnExit);
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startPlatform(): Promise<void> {
    const ports = await findFreePorts(PLATFORM_IDS.length);
    const started = PLATFORM_IDS.map((id, index) => {
      const settings = id === 'weights' ? this.settings.weights : {};
      return this.startProcess(createStandInProcess(id, id, ports[index] ?? 0, settings));
    });
    await Promise.all(started);
  }

  private async startUpstreams(): Promise<void> {
    const { engines, stores, services } = this.settings;
    const weightStoreUrl = this.getUrl('weights');
    await Promise.all([
      ...engines.map((vm) =>
        this.startUpstream({ ...vm, settings: { weightStoreUrl, ...vm.settings } }, 'engine'),
      ),
      ...stores.map((vm) => this.startUpstream(vm, 'store')),
      ...services.map((vm) => this.startUpstream(vm, 'service', vm.service)),
    ]);
  }

  private async startUpstream(
    vm: SiteVm,
    role: 'engine' | 'store' | 'service',
    service?: string,
  ): Promise<void> {
    const [port = 0] = await findFreePorts(1);
    const { vmId, availabilityZone, settings } = vm;
    const roleSettings = { ...settings, vmId, availabilityZone };
    await this.startProcess(createStandInProcess(vmId, role, port, roleSettings));
    await this.putVm(buildVmRecord(vm, role, port, service === undefined ? {} : { service }));
  }

  private async startEntries(): Promise<void> {
    const platform = {
      logUrl: this.getUrl('log'),
      vmListUrl: this.getUrl('vmlist'),
      weightStoreUrl: this.getUrl('weights'),
    };
    await Promise.all(this.settings.entries.map((vm) => this.startEntry(vm, platform)));
  }

  private async startEntry(vm: SiteVm, platform: PlatformUrls): Promise<void> {
    const [client = 0, operations = 0, mesh = 0] = await findFreePorts(PORTS_PER_ENTRY_VM);
    const ports = { client, operations, mesh };
    this.operationsUrls.set(vm.vmId, `http://127.0.0.1:${operations}`);
    await this.putVm(buildVmRecord(vm, 'entry', client, { meshAddress: `127.0.0.1:${mesh}` }));
    const entry = createEntryProcess(vm, ports, platform, this.secrets, this.folder);
    await this.startProcess(entry);
  }

  private async startProcess(siteProcess: SiteProcess): Promise<void> {
    this.processes.set(siteProcess.id, siteProcess);
    siteProcess.start();
    await waitUntil(`${siteProcess.id} is ready`, () => siteProcess.isReady());
  }

  private async putVm(record: VmRecord): Promise<void> {
    this.records.set(record.vmId, record);
    await requestJson(`${this.getUrl('vmlist')}/vms/${record.vmId}`, 'PUT', record);
  }

  private killAll(): void {
    this.processes.forEach((siteProcess) => siteProcess.sendSignal('SIGKILL'));
  }
}
