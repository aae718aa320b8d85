import { readFileSync } from 'node:fs';
import type { VmRecord } from '@goldcrestscale/core';
import { rowSchema } from '@goldcrestscale/core';
import { z } from 'zod';

const vmSchema = z.strictObject({
  vmId: z.string(),
  availabilityZone: z.string(),
  /** Settings of the VM's role, in the format of its process. */
  settings: z.record(z.string(), z.unknown()).default({}),
});

/** Settings of one example site. */
export const siteSettingsSchema = z.strictObject({
  name: z.string(),
  entries: z.array(vmSchema),
  engines: z.array(vmSchema),
  stores: z.array(vmSchema),
  services: z.array(vmSchema.extend({ service: z.string() })),
  weights: z.record(z.string(), z.unknown()).default({}),
  /** Rows of the configuration table; the accounts' API keys are generated when the site starts. */
  table: z.array(z.record(z.string(), z.unknown())).default([]),
});

export type SiteSettings = z.output<typeof siteSettingsSchema>;
export type SiteVm = SiteSettings['entries'][number];
export type SiteRow = z.output<typeof rowSchema>;

/** Loads the settings of a site from a JSON file. */
export const loadSiteSettings = (file: URL | string): SiteSettings =>
  siteSettingsSchema.parse(JSON.parse(readFileSync(file, 'utf8')));

/** Builds the VM list record of a VM. */
export const buildVmRecord = (
  vm: SiteVm,
  role: VmRecord['role'],
  port: number,
  extra: Partial<VmRecord> = {},
): VmRecord =>
  ({
    vmId: vm.vmId,
    role,
    address: `127.0.0.1:${port}`,
    availabilityZone: vm.availabilityZone,
    state: 'live',
    ...extra,
  }) as VmRecord;
