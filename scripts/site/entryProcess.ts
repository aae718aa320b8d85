import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { SiteProcess } from './siteProcess.js';
import type { SiteVm } from './siteSettings.js';

const entryScript = fileURLToPath(
  new URL('../../packages/entry/bin/goldcrest-entry.js', import.meta.url),
);

/** Ports of one entry VM. */
export interface EntryPorts {
  readonly client: number;
  readonly operations: number;
  readonly mesh: number;
}

/** Secrets of a site, generated for each run and passed to the processes as environment variables. */
export interface SiteSecrets {
  readonly operationsKey: string;
  readonly meshSecret: string;
  readonly fleetSecret: string;
}

/** URLs of the platform services. */
export interface PlatformUrls {
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly weightStoreUrl: string;
}

const host = '127.0.0.1';

const buildSettings = (vm: SiteVm, ports: EntryPorts, platform: PlatformUrls): object => ({
  vmId: vm.vmId,
  availabilityZone: vm.availabilityZone,
  listen: { host, port: ports.client },
  advertise: `${host}:${ports.client}`,
  operations: { host, port: ports.operations, key: { env: 'GOLDCREST_OPERATIONS_KEY' } },
  mesh: {
    host,
    port: ports.mesh,
    advertise: `${host}:${ports.mesh}`,
    secret: { env: 'GOLDCREST_MESH_SECRET' },
  },
  platform,
  fleetSecret: { env: 'GOLDCREST_FLEET_SECRET' },
  ...vm.settings,
});

/** Creates the process of one entry VM and writes its settings file into the given folder. */
export const createEntryProcess = (
  vm: SiteVm,
  ports: EntryPorts,
  platform: PlatformUrls,
  secrets: SiteSecrets,
  folder: string,
): SiteProcess => {
  const file = join(folder, `${vm.vmId}.json`);
  writeFileSync(file, JSON.stringify(buildSettings(vm, ports, platform), undefined, 2));
  const command = {
    script: entryScript,
    args: ['--settings', file],
    env: {
      GOLDCREST_OPERATIONS_KEY: secrets.operationsKey,
      GOLDCREST_MESH_SECRET: secrets.meshSecret,
      GOLDCREST_FLEET_SECRET: secrets.fleetSecret,
    },
  };
  const readyUrl = `http://${host}:${ports.operations}/readyz`;
  return new SiteProcess(vm.vmId, `http://${host}:${ports.client}`, command, readyUrl);
};
