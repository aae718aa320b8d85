import type { DeployedAccount, Deployment } from './deployment.js';
import type { RouteRule } from './routeRule.js';

/** How much a finding matters: requests fail or never match, or a setting does not do what it says. */
export type FindingSeverity = 'error' | 'warning';

/** What a check found in a configuration. */
export interface DeploymentFinding {
  readonly severity: FindingSeverity;
  /** Entry that it is about, such as `route a.example/chat/` or `account blue`. */
  readonly subject: string;
  readonly message: string;
}

/** Collects findings about one entry. */
class Findings {
  readonly list: DeploymentFinding[] = [];

  /** Adds a finding if its condition holds. */
  addIf(
    condition: boolean,
    severity: FindingSeverity,
    { subject, message }: Pick<DeploymentFinding, 'subject' | 'message'>,
  ): void {
    if (condition) this.list.push({ severity, subject, message });
  }
}

/** Describes a route by what its requests have in common. */
export const describeRoute = ({ host, pathPrefix }: RouteRule): string =>
  `route ${host}${pathPrefix}`;

const listServices = ({ destinations }: RouteRule): readonly string[] =>
  destinations.filter(({ weight }) => weight > 0).map(({ service }) => service);

const checkRoute = (route: RouteRule, known: ReadonlySet<string>, findings: Findings): void => {
  const subject = describeRoute(route);
  const { timeoutMs, objectiveMs, gapObjectiveMs, maxUpstreams, pathPrefix } = route;
  const add = (condition: boolean, severity: FindingSeverity, message: string): void =>
    findings.addIf(condition, severity, { subject, message });
  add(
    !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'),
    'error',
    'the prefix does not begin and end with a slash',
  );
  add(listServices(route).length === 0, 'error', 'no service has a weight over 0');
  route.destinations.forEach(({ service, weight }) =>
    add(
      !known.has(service),
      weight > 0 ? 'error' : 'warning',
      `service ${service} has no settings`,
    ),
  );
  add(maxUpstreams < 1, 'error', 'no request is sent to any upstream (attempts below 1)');
  add(timeoutMs <= 0, 'error', 'each request is over at once (time limit of 0)');
  add(
    objectiveMs > timeoutMs,
    'warning',
    `the objective (${objectiveMs} ms) is longer than the time limit (${timeoutMs} ms)`,
  );
  add(
    (gapObjectiveMs ?? 0) > timeoutMs,
    'warning',
    `the objective between events (${gapObjectiveMs} ms) is longer than the time limit (${timeoutMs} ms)`,
  );
  add(!route.streaming && route.resumable, 'warning', 'only streams can be resumed');
  add(!route.streaming && gapObjectiveMs !== undefined, 'warning', 'only streams have events');
  add(
    !route.idempotent && !route.resumable && maxUpstreams > 1,
    'warning',
    `of ${maxUpstreams} attempts only those after a proved "not run" are made`,
  );
};

/** Finds routes that never match, because another one has the same host and prefix. */
const checkDoubledRoutes = (routes: readonly RouteRule[], findings: Findings): void => {
  const first = new Map<string, RouteRule>();
  routes.forEach((route) => {
    const subject = describeRoute(route);
    const other = first.get(subject);
    if (!other) first.set(subject, route);
    const message = `${route.name} never matches: ${other?.name} has the same host and prefix`;
    findings.addIf(other !== undefined, 'error', { subject, message });
  });
};

const checkAccounts = (accounts: readonly DeployedAccount[], findings: Findings): void => {
  const holders = new Map<string, DeployedAccount>();
  accounts.forEach((account) => {
    const subject = `account ${account.id}`;
    const add = (condition: boolean, severity: FindingSeverity, message: string): void =>
      findings.addIf(condition, severity, { subject, message });
    add(account.keys.length === 0, 'warning', 'it has no key, so that no request is its own');
    new Set(account.keys).forEach((key) => {
      const holder = holders.get(key);
      // A key is a secret, so that no finding names it.
      add(holder !== undefined, 'error', `account ${holder?.id} holds one of its keys too`);
      holders.set(key, account);
    });
  });
};

/** Finds accounts whose own priority turns the order of the routes of a service around. */
const checkPriorities = ({ routes, accounts }: Deployment, findings: Findings): void => {
  const services = new Set(routes.flatMap(listServices));
  services.forEach((service) => {
    const priorities = routes
      .filter((route) => listServices(route).includes(service))
      .map(({ priority }) => priority);
    const highest = Math.min(...priorities);
    if (highest === Math.max(...priorities)) return;
    accounts.forEach(({ id, priority = highest }) => {
      const message = `its priority ${priority} puts its least urgent requests to ${service} before the most urgent ones of others (${highest})`;
      findings.addIf(priority < highest, 'warning', { subject: `account ${id}`, message });
    });
  });
};

/** Lists what is wrong with a configuration, or has no effect in it. */
export const checkDeployment = (deployment: Deployment): readonly DeploymentFinding[] => {
  const { routes, services, accounts } = deployment;
  const findings = new Findings();
  const known = new Set<string>(services.map(({ name }) => name));
  routes.forEach((route) => checkRoute(route, known, findings));
  checkDoubledRoutes(routes, findings);
  checkAccounts(accounts, findings);
  checkPriorities(deployment, findings);
  const used = new Set(routes.flatMap(listServices));
  services.forEach(({ name }) =>
    findings.addIf(!used.has(name), 'warning', {
      subject: `service ${name}`,
      message: 'no route leads to it',
    }),
  );
  return findings.list;
};
