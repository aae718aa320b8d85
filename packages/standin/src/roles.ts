import type { VmRecord } from '@goldcrestscale/core';
import { z } from 'zod';
import { EngineRole, engineSettingsSchema } from './engine/index.js';
import type { StandInRole } from './http/index.js';
import { LogRole } from './log/index.js';
import { ServiceRole } from './service/index.js';
import { StoreRole, storeSettingsSchema } from './store/index.js';
import { VmListRole } from './vmList/index.js';
import { WeightStoreRole } from './weights/index.js';

const serviceSettingsSchema = z.strictObject({
  vmId: z.string().default('service'),
  availabilityZone: z.string().default('zone-a'),
  maxConcurrent: z.number().int().positive().default(32),
  coldConcurrent: z.number().int().min(0).default(4),
  coldCompletions: z.number().int().min(0).default(5),
  workMs: z.number().min(0).default(2),
});

const vmListSettingsSchema = z.strictObject({
  vms: z.array(z.custom<VmRecord>()).default([]),
});

const weightStoreSettingsSchema = z.strictObject({
  loadMs: z.number().min(0).default(800),
});

type RoleFactory = (settings: unknown) => StandInRole;

const roleFactories: Readonly<Record<string, RoleFactory>> = {
  log: () => new LogRole(),
  vmlist: (settings) => new VmListRole(vmListSettingsSchema.parse(settings).vms),
  weights: (settings) => new WeightStoreRole(weightStoreSettingsSchema.parse(settings).loadMs),
  engine: (settings) => new EngineRole(engineSettingsSchema.parse(settings)),
  store: (settings) => new StoreRole(storeSettingsSchema.parse(settings)),
  service: (settings) => new ServiceRole(serviceSettingsSchema.parse(settings)),
};

export const roleNames = Object.keys(roleFactories);

/** Creates a role from its settings; undefined if there is no such role. */
export const createRole = (name: string, settings: unknown): StandInRole | undefined =>
  roleFactories[name]?.(settings);
