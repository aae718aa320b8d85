import type { ServiceName } from '../ids.js';
import type { DeployedAccount, Deployment, ServiceSettings } from './deployment.js';
import type { RouteRule } from './routeRule.js';

const NO_WEIGHT = 0;

/** One version of the configuration, indexed for look-ups by request. */
export class DeploymentView {
  private readonly routesByHost = new Map<string, RouteRule[]>();

  private readonly accountsByKey = new Map<string, DeployedAccount>();

  private readonly shortestObjectives = new Map<ServiceName, number>();

  private readonly services = new Map<ServiceName, ServiceSettings>();

  constructor(readonly deployment: Deployment) {
    deployment.routes.forEach((route) => this.addRoute(route));
    deployment.accounts.forEach((account) =>
      account.keys.forEach((key) => this.accountsByKey.set(key, account)),
    );
    deployment.services.forEach((service) => this.services.set(service.name, service));
  }

  get version(): number {
    return this.deployment.version;
  }

  /** Tells whether requests on routes that are not anonymous need a key. */
  get needsKeys(): boolean {
    return this.deployment.accounts.length > 0;
  }

  /** Finds the route of a host with the longest prefix of a path. */
  findRoute(host: string, path: string): RouteRule | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds the account that holds a key. */
  findAccount(key: string): DeployedAccount | undefined {
    return this.accountsByKey.get(key);
  }

  findService(name: ServiceName): ServiceSettings | undefined {
    return this.services.get(name);
  }

  /** Gives the least objective of the routes that lead to a service, in milliseconds. */
  findShortestObjective(name: ServiceName): number | undefined {
    return this.shortestObjectives.get(name);
  }

  private addRoute(route: RouteRule): void {
    const routes = this.routesByHost.get(route.host) ?? [];
    routes.push(route);
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    this.routesByHost.set(route.host, routes);
    route.destinations.forEach(({ service }) => {
      const known = this.shortestObjectives.get(service) ?? Infinity;
      this.shortestObjectives.set(service, Math.min(known, route.objectiveMs));
    });
  }
}

/**
 * Picks the service of one request by the weights of the route's destinations.
 *
 * @param chance evenly distributed in [0, 1)
 */
export const pickDestination = (route: RouteRule, chance: number): ServiceName | undefined => {
  const open = route.destinations.filter(({ weight }) => weight > NO_WEIGHT);
  const total = open.reduce((sum, { weight }) => sum + weight, 0);
  let left = chance * total;
  for (const { service, weight } of open) {
    left -= weight;
    if (left < 0) return service;
  }
  return open.at(-1)?.service;
};
