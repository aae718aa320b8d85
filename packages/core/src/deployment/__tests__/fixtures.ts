import { toId } from '../../ids.js';
import type { ServiceName } from '../../ids.js';
import type { Deployment, RouteRule } from '../index.js';

/** Creates a route with default settings; tests override the fields they depend on. */
export const makeRoute = (fields: Partial<RouteRule> = {}): RouteRule => ({
  name: 'route',
  host: 'site.example',
  pathPrefix: '/a/',
  destinations: [{ service: toId<ServiceName>('engines'), weight: 1 }],
  streaming: false,
  resumable: false,
  idempotent: true,
  timeoutMs: 2_000,
  objectiveMs: 300,
  gapObjectiveMs: undefined,
  maxUpstreams: 2,
  priority: 0,
  anonymous: true,
  carriesPrompt: false,
  regions: [],
  ...fields,
});

/** Creates a configuration with one service. */
export const makeDeployment = (fields: Partial<Deployment> = {}): Deployment => ({
  version: 1,
  routes: [makeRoute()],
  services: [
    {
      name: toId<ServiceName>('engines'),
      connectionLimit: 100,
      coldStartMs: 3_000,
      coldRequestsPerSecond: 10,
      engine: undefined,
    },
  ],
  blockStores: [],
  accounts: [],
  callerLimits: { bodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  ...fields,
});
