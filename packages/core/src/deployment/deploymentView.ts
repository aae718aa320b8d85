import type { ServiceName } from '../ids.js';
import type { DeployedAccount, Deployment, ServiceSettings } from './deployment.js';
import type { RouteRule } from './routeRule.js';

const NO_WEIGHT = 0;

/** A version of the configuration, indexed for per-request lookups. */
export class DeploymentView {
  private readonly routesByHost = new Map<string, RouteRule[]>();

  private readonly accountsByApiKey = new Map<string, DeployedAccount>();

  private readonly routesByService = new Map<ServiceName, RouteRule[]>();

  private readonly shortestGapsMs = new Map<ServiceName, number>();

  private readonly services = new Map<ServiceName, ServiceSettings>();

  constructor(readonly deployment: Deployment) {
    deployment.routes.forEach((route) => this.addRoute(route));
    deployment.accounts.forEach((account) =>
      account.keys.forEach((key) => this.accountsByApiKey.set(key, account)),
    );
    deployment.services.forEach((service) => this.services.set(service.name, service));
  }

  get version(): number {
    return this.deployment.version;
  }

  /** Whether requests on non-anonymous routes need an API key. */
  get requiresApiKeys(): boolean {
    return this.deployment.accounts.length > 0;
  }

  /** Finds the host's route with the longest matching path prefix. */
  findRoute(host: string, path: string): RouteRule | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds the account with an API key. */
  findAccount(key: string): DeployedAccount | undefined {
    return this.accountsByApiKey.get(key);
  }

  findService(name: ServiceName): ServiceSettings | undefined {
    return this.services.get(name);
  }

  /**
   * Returns the shortest latency objective of the routes to a service, in milliseconds.
   *
   * @param priority counts only routes that are as urgent or more so
   */
  findShortestObjectiveMs(name: ServiceName, priority = Infinity): number | undefined {
    const objectives = this.routesByService
      .get(name)
      ?.flatMap((route) => (route.priority <= priority ? [route.objectiveMs] : []));
    return objectives?.length ? Math.min(...objectives) : undefined;
  }

  /** Returns the priority of the most urgent routes to a service. */
  findHighestPriority(name: ServiceName): number | undefined {
    const routes = this.routesByService.get(name);
    return routes && Math.min(...routes.map(({ priority }) => priority));
  }

  /** Returns the shortest objective for the gap between two events of the streams of a service. */
  findShortestGapMs(name: ServiceName): number | undefined {
    return this.shortestGapsMs.get(name);
  }

  private addRoute(route: RouteRule): void {
    const routes = this.routesByHost.get(route.host) ?? [];
    routes.push(route);
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    this.routesByHost.set(route.host, routes);
    route.destinations.forEach(({ service }) => {
      this.routesByService.set(service, [...(this.routesByService.get(service) ?? []), route]);
      if (route.gapObjectiveMs === undefined) return;
      const shortestGapMs = this.shortestGapsMs.get(service) ?? Infinity;
      this.shortestGapsMs.set(service, Math.min(shortestGapMs, route.gapObjectiveMs));
    });
  }
}

/**
 * Picks the service for a request by the weights of the route's destinations.
 *
 * @param randomValue uniformly distributed in [0, 1)
 */
export const pickDestination = (route: RouteRule, randomValue: number): ServiceName | undefined => {
  const weighted = route.destinations.filter(({ weight }) => weight > NO_WEIGHT);
  const totalWeight = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = randomValue * totalWeight;
  for (const { service, weight } of weighted) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return weighted.at(-1)?.service;
};
