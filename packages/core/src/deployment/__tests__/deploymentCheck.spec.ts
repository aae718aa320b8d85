import { expect, test } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, ServiceName } from '../../ids.js';
import { checkDeployment, diffDeployments } from '../index.js';
import type { DeployedAccount, Deployment, RouteRule } from '../index.js';
import { makeDeployment, makeRoute } from './fixtures.js';

const makeAccount = (name: string, fields: Partial<DeployedAccount> = {}): DeployedAccount => ({
  id: toId<ClientAccountId>(name),
  keys: [`key of ${name}`],
  priority: undefined,
  isolated: false,
  regions: [],
  ...fields,
});

const list = (fields: Partial<Deployment>): readonly string[] =>
  checkDeployment(makeDeployment(fields)).map(
    ({ severity, subject, message }) => `${severity} ${subject}: ${message}`,
  );

const listForRoute = (fields: Partial<RouteRule>): readonly string[] =>
  list({ routes: [makeRoute(fields)] });

test('a sound configuration has no findings', () => {
  const routes = [makeRoute(), makeRoute({ pathPrefix: '/a/b/', priority: 2 })];
  expect(list({ routes, accounts: [makeAccount('blue', { priority: 1 })] })).toEqual([]);
});

test('a route without a service that gets requests is an error', () => {
  const service = toId<ServiceName>('engines');
  const found = listForRoute({ destinations: [{ service, weight: 0 }] });
  expect(found).toEqual([
    'error route site.example/a/: no service has a weight over 0',
    'warning service engines: no route leads to it',
  ]);
  const unknown = toId<ServiceName>('engine');
  expect(listForRoute({ destinations: [{ service: unknown, weight: 1 }] })).toContain(
    'error route site.example/a/: service engine has no settings',
  );
});

// Guards against an entry that an operator takes to be in force while another one hides it.
test('the second route of the same host and prefix never matches', () => {
  const routes = [makeRoute({ name: 'old' }), makeRoute({ name: 'new', timeoutMs: 9_000 })];
  expect(list({ routes })).toEqual([
    'error route site.example/a/: new never matches: old has the same host and prefix',
  ]);
  expect(list({ routes: [makeRoute(), makeRoute({ host: 'other.example' })] })).toEqual([]);
});

test.each<[Partial<RouteRule>, string]>([
  [{ objectiveMs: 2_001 }, 'warning'],
  [{ gapObjectiveMs: 3_000, streaming: true }, 'warning'],
  [{ resumable: true }, 'warning'],
  [{ gapObjectiveMs: 10 }, 'warning'],
  [{ idempotent: false }, 'warning'],
  [{ maxUpstreams: 0 }, 'error'],
  [{ timeoutMs: 0, objectiveMs: 0 }, 'error'],
  [{ pathPrefix: '/a' }, 'error'],
])('%j contradicts itself', (fields, severity) => {
  const found = listForRoute(fields);
  expect(found).toHaveLength(1);
  expect(found[0]).toMatch(new RegExp(`^${severity} route site.example`));
});

// Guards against a secret in the output of a check.
test('a key that two accounts hold is an error that does not name the key', () => {
  const accounts = [
    makeAccount('blue', { keys: ['secret'] }),
    makeAccount('red', { keys: ['secret'] }),
  ];
  expect(list({ accounts })).toEqual(['error account red: account blue holds one of its keys too']);
  expect(list({ accounts: [makeAccount('blue', { keys: [] })] })).toHaveLength(1);
});

test('an account whose priority turns the order of routes around is told', () => {
  const routes = [makeRoute({ priority: 1 }), makeRoute({ pathPrefix: '/b/', priority: 2 })];
  expect(list({ routes, accounts: [makeAccount('blue', { priority: 0 })] })).toHaveLength(1);
  expect(list({ routes, accounts: [makeAccount('blue', { priority: 1 })] })).toEqual([]);
});

test('differences are told by what they mean for callers', () => {
  const before = makeDeployment({
    routes: [makeRoute(), makeRoute({ pathPrefix: '/a/b/' }), makeRoute({ pathPrefix: '/gone/' })],
    accounts: [makeAccount('blue'), makeAccount('red')],
  });
  const after = makeDeployment({
    version: 2,
    routes: [makeRoute({ timeoutMs: 1_000 }), makeRoute({ pathPrefix: '/new/' })],
    accounts: [makeAccount('blue', { keys: ['another'] })],
    callerLimits: { ...before.callerLimits, bodyBytes: 10 },
  });
  const changes = diffDeployments(before, after);
  expect(changes.map(({ subject, message }) => `${subject}: ${message}`)).toEqual([
    'route site.example/a/: callers wait for at most (ms): 2000 -> 1000',
    'route site.example/a/b/: removed: its requests go to route site.example/a/',
    'route site.example/gone/: removed: its requests get 404',
    'route site.example/new/: added: requests go to engines 1',
    'account blue: requests with 1 of its keys get 401',
    'account blue: 1 more of its keys are taken',
    'account red: removed: its keys get 401',
    'limits: bodyBytes: 100000 -> 10',
  ]);
  expect(diffDeployments(before, before)).toEqual([]);
});
