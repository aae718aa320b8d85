import type { DeployedAccount, Deployment } from './deployment.js';
import { describeRoute } from './deploymentCheck.js';
import type { RouteRule } from './routeRule.js';

/** What a version changes for callers. */
export interface DeploymentChange {
  /** Entry that it is about, such as `route a.example/chat/`. */
  readonly subject: string;
  readonly message: string;
}

/** Matches the entries of two versions by a key; one of each pair may be missing. */
const matchEntries = <Entry>(
  before: readonly Entry[],
  after: readonly Entry[],
  getKey: (entry: Entry) => string,
): readonly (readonly [string, Entry | undefined, Entry | undefined])[] => {
  const old = new Map(before.map((entry) => [getKey(entry), entry]));
  const fresh = new Map(after.map((entry) => [getKey(entry), entry]));
  return [...new Set([...old.keys(), ...fresh.keys()])].map(
    (key) => [key, old.get(key), fresh.get(key)] as const,
  );
};

const formatDestinations = ({ destinations }: RouteRule): string =>
  destinations.map(({ service, weight }) => `${service} ${weight}`).join(', ') || 'no service';

/** Finds the route that takes the requests of another one that is not there. */
const findShorterRoute = (routes: readonly RouteRule[], lost: RouteRule): RouteRule | undefined =>
  routes
    .filter(({ host, pathPrefix }) => host === lost.host && lost.pathPrefix.startsWith(pathPrefix))
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];

/** Fields of a route whose change callers notice, with what they notice. */
const ROUTE_FIELDS: readonly (readonly [string, (route: RouteRule) => unknown])[] = [
  ['requests go to', formatDestinations],
  ['callers wait for at most (ms)', ({ timeoutMs }) => timeoutMs],
  ['answers are late after (ms)', ({ objectiveMs }) => objectiveMs],
  ['events are late after (ms)', ({ gapObjectiveMs }) => gapObjectiveMs ?? 'never'],
  ['a request may run more than once', ({ idempotent }) => idempotent],
  ['upstreams that one request may be sent to', ({ maxUpstreams }) => maxUpstreams],
  ['answers are streams', ({ streaming }) => streaming],
  ['streams may be resumed', ({ resumable }) => resumable],
  ['priority', ({ priority }) => priority],
  ['a key is needed', ({ anonymous }) => !anonymous],
  ['regions', ({ regions }) => regions.join(', ') || 'all'],
];

const diffRoute = (before: RouteRule, after: RouteRule): readonly string[] =>
  ROUTE_FIELDS.flatMap(([text, get]) => {
    const [old, fresh] = [String(get(before)), String(get(after))];
    return old === fresh ? [] : [`${text}: ${old} -> ${fresh}`];
  });

const describeLostRoute = (route: RouteRule, routes: readonly RouteRule[]): string => {
  const other = findShorterRoute(routes, route);
  return other ? `its requests go to ${describeRoute(other)}` : 'its requests get 404';
};

const diffAccount = (before: DeployedAccount, after: DeployedAccount): readonly string[] => {
  const lost = before.keys.filter((key) => !after.keys.includes(key)).length;
  const added = after.keys.filter((key) => !before.keys.includes(key)).length;
  return [
    ...(lost > 0 ? [`requests with ${lost} of its keys get 401`] : []),
    ...(added > 0 ? [`${added} more of its keys are taken`] : []),
    ...(before.priority === after.priority
      ? []
      : [`priority: ${before.priority ?? "the route's"} -> ${after.priority ?? "the route's"}`]),
    ...(before.isolated === after.isolated
      ? []
      : [`shares cached prompts with others: ${!before.isolated} -> ${!after.isolated}`]),
  ];
};

/** Lists what a version changes for callers; empty if nothing. */
export const diffDeployments = (
  before: Deployment,
  after: Deployment,
): readonly DeploymentChange[] => {
  const changes: DeploymentChange[] = [];
  const add = (subject: string, messages: readonly string[]): void => {
    messages.forEach((message) => changes.push({ subject, message }));
  };
  matchEntries(before.routes, after.routes, describeRoute).forEach(([subject, old, fresh]) => {
    if (old && fresh) add(subject, diffRoute(old, fresh));
    else if (old) add(subject, [`removed: ${describeLostRoute(old, after.routes)}`]);
    else if (fresh) add(subject, [`added: requests go to ${formatDestinations(fresh)}`]);
  });
  const pairs = matchEntries(before.accounts, after.accounts, ({ id }) => id);
  pairs.forEach(([id, old, fresh]) => {
    if (old && fresh) add(`account ${id}`, diffAccount(old, fresh));
    else add(`account ${id}`, [old ? 'removed: its keys get 401' : 'added']);
  });
  Object.entries(after.callerLimits).forEach(([name, limit]) => {
    const old = before.callerLimits[name as keyof Deployment['callerLimits']];
    if (old !== limit) add('limits', [`${name}: ${old} -> ${String(limit)}`]);
  });
  return changes;
};
