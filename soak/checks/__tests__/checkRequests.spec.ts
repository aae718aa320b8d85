import { formatEvent, formatPlainAnswer } from '@goldcrestscale/adapter/standin/index.js';
import type { ReadAnswer } from '@goldcrestscale/adapter/standin/index.js';
import { expect, test } from 'vitest';
import type { RequestRecord, SoakHistory } from '../../history.js';
import { checkRequests } from '../checkRequests.js';
import { createHistory, createRequest, createRun } from './historyFixtures.js';

const listRules = (parts: Partial<SoakHistory>): string[] =>
  checkRequests(createHistory(parts)).map(({ rule }) => rule);

const answerWith = (
  answer: Partial<ReadAnswer>,
  rest: Partial<RequestRecord> = {},
): RequestRecord => {
  const body = formatPlainAnswer('c0-0', 'hash');
  const whole = { status: 200, requestId: 'c0-0', isSigned: true, body, ...answer };
  return createRequest({ end: { type: 'answered', answer: whole }, ...rest });
};

const events = (...numbers: number[]): string =>
  numbers.map((number) => formatEvent('c0-0', number)).join('');

const answerStream = (body: string): RequestRecord =>
  answerWith({ body }, { kind: 'stream', events: 3 });

test('sound answers break nothing', () => {
  expect(listRules({ requests: [answerWith({})], runs: [createRun({})] })).toEqual([]);
  expect(listRules({ requests: [answerStream(events(1, 2, 3))], runs: [createRun({})] })).toEqual(
    [],
  );
});

test.each<[string, Partial<ReadAnswer>]>([
  ['the id of another request', { requestId: 'c1-0' }],
  ['a success without a signature', { isSigned: false }],
  ['a failure with a signature', { status: 502 }],
  ['the body of another request', { body: formatPlainAnswer('c1-0', 'hash') }],
  ['a part of the body', { body: formatPlainAnswer('c0-0', 'hash').slice(0, 100) }],
])('MIXED: %s', (_name, answer) => {
  expect(listRules({ requests: [answerWith(answer)], runs: [createRun({})] })).toEqual(['MIXED']);
});

test('MIXED: an answer to no request', () => {
  expect(listRules({ strays: ['vm-0: answer 200 to no request'] })).toEqual(['MIXED']);
});

test.each([
  ['a missing event', events(1, 3)],
  ['an event twice', events(1, 2, 2, 3)],
  ['an early end', events(1, 2)],
  ['events of another request', events(1, 2) + formatEvent('c1-0', 3)],
])('ORDER: %s', (_name, body) => {
  expect(listRules({ requests: [answerStream(body)] })).toEqual(['ORDER']);
});

test('TWICE: an unsafe request runs twice, also when both runs are answered', () => {
  const runs = [createRun({}), createRun({ upstreamId: 'u-2-0' })];
  expect(listRules({ requests: [answerWith({})], runs })).toEqual(['TWICE']);
  expect(listRules({ requests: [answerWith({}, { kind: 'safe' })], runs })).toEqual([]);
});

test.each([408, 421, 429, 503])('REFUSED: an unsafe request is answered %i and runs', (status) => {
  const requests = [answerWith({ status, isSigned: false })];
  expect(listRules({ requests, runs: [createRun({})] })).toEqual(['REFUSED']);
  expect(listRules({ requests })).toEqual([]);
});

test('UNASKED: a run that no caller sent, or with another body or path', () => {
  expect(listRules({ runs: [createRun({})] })).toEqual(['UNASKED']);
  const requests = [answerWith({})];
  expect(listRules({ requests, runs: [createRun({ bodyHash: 'other' })] })).toEqual(['UNASKED']);
  expect(listRules({ requests, runs: [createRun({ path: '/unsafe/1' })] })).toEqual(['UNASKED']);
});
