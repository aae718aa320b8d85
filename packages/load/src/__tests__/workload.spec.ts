import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { afterAll, expect, test } from 'vitest';
import { isGoldcrestError } from '@goldcrestscale/core';
import { SettingsError } from '@goldcrestscale/runtime';
import { generateAnswer, renderPrompt } from '@goldcrestscale/standin';
import {
  createRandomSource,
  encodeRecording,
  generateExpectedAnswer,
  generatePrompt,
  generateRequests,
  loadRecording,
  loadToolSettingsSchema,
  renderChatPrompt,
  parseRecordLine,
  saveRecording,
} from '../index.js';

const directory = await mkdtemp(join(tmpdir(), 'load-'));
afterAll(() => rm(directory, { recursive: true }));

const createSettings = (seed: number, extra: object = {}) =>
  loadToolSettingsSchema.parse({
    seed,
    durationMs: 60_000,
    gapScale: 0.01,
    accounts: [
      { id: 'large', key: { env: 'A' }, share: 8 },
      { id: 'small', key: { env: 'B' }, share: 2 },
    ],
    workloads: [
      {
        type: 'completion',
        name: 'notes',
        ratePerSecond: 10,
        model: 'm',
        promptTokens: { min: 100, max: 900 },
        maxPromptTokens: 1_000,
        meanReturns: 2,
      },
      { type: 'service', name: 'tickets', ratePerSecond: 5, service: 's', path: '/tickets' },
    ],
    ...extra,
  });

test('the same seed gives the same requests, ordered and within limits', () => {
  fc.assert(
    fc.property(fc.integer(), fc.integer({ min: 1, max: 2_000 }), (seed, maxRequests) => {
      const settings = createSettings(seed, { maxRequests });
      const requests = generateRequests(settings);
      expect(generateRequests(settings)).toEqual(requests);
      expect(requests.length).toBeLessThanOrEqual(maxRequests);
      requests.slice(1).forEach((request, index) => {
        expect(request.atMs).toBeGreaterThanOrEqual(requests[index]?.atMs ?? 0);
        expect(request.atMs).toBeLessThan(settings.durationMs);
      });
    }),
    { seed: 1, numRuns: 20 },
  );
});

test('returns follow their prompt in order and grow up to the limit', () => {
  const requests = generateRequests(createSettings(1));
  const sessions = new Map<string, typeof requests>();
  requests.forEach((request) =>
    sessions.set(request.session, [...(sessions.get(request.session) ?? []), request]),
  );
  sessions.forEach((turns) => {
    expect(turns.map(({ turn }) => turn)).toEqual(turns.map((_, index) => index));
    expect(new Set(turns.map(({ account }) => account)).size).toBe(1);
    turns.slice(1).forEach(({ promptTokens }, index) => {
      const before = turns[index]?.promptTokens ?? 0;
      expect(promptTokens).toBe(Math.min(before + 256, 1_000));
    });
  });
});

test('rates, shares and returns are close to their configured means', () => {
  const requests = generateRequests(createSettings(3));
  const arrivals = requests.filter(({ turn }) => turn === 0);
  const prompts = arrivals.filter(({ workload }) => workload === 'notes').length;
  expect(Math.abs(prompts - 600)).toBeLessThan(75);
  expect(Math.abs(arrivals.length - prompts - 300)).toBeLessThan(55);
  const large = arrivals.filter(({ account }) => account === 'large').length;
  expect(Math.abs(large / arrivals.length - 0.8)).toBeLessThan(0.05);
  const random = createRandomSource(5);
  const draws = Array.from({ length: 20_000 }, () => random.nextGeometric(3));
  expect(draws.reduce((sum, draw) => sum + draw, 0) / draws.length).toBeCloseTo(3, 0);
});

test('a longer prompt of a session begins with the shorter one', () => {
  fc.assert(
    fc.property(fc.nat(3_000), fc.nat(3_000), (left, right) => {
      const [short, long] = [Math.min(left, right), Math.max(left, right)];
      expect(generatePrompt(1, 's', long).startsWith(generatePrompt(1, 's', short))).toBe(true);
      expect(generatePrompt(1, 's', short)).toHaveLength(short * 4);
    }),
    { seed: 1, numRuns: 50 },
  );
  expect(generatePrompt(1, 'a', 16)).not.toBe(generatePrompt(1, 'b', 16));
});

test('the expected answer equals the answer of the stand-in engine', () => {
  expect(renderChatPrompt('x')).toBe(renderPrompt([{ role: 'user', content: 'x' }]));
  expect(generateExpectedAnswer('1', 'user: x', 9)).toBe(generateAnswer('1', 'user: x', 9));
});

test('recording round trip', async () => {
  const requests = generateRequests(createSettings(1));
  const file = join(directory, 'run.jsonl');
  await saveRecording(file, requests);
  expect(await loadRecording(file, 1e6)).toEqual(requests);
  expect(await loadRecording(file, 7)).toHaveLength(7);
  await expect(loadRecording(join(directory, 'none'), 1)).rejects.toThrow(/ENOENT/);
});

test('any recording line parses to a request or gives a typed error', () => {
  const line = fc.oneof(
    fc.string(),
    fc.json(),
    fc.jsonValue().map((value) => `{"atMs":${JSON.stringify(value)}}`),
  );
  fc.assert(
    fc.property(line, (text) => {
      try {
        const request = parseRecordLine(text, 'x:1');
        expect(encodeRecording([request])).toContain('"atMs"');
      } catch (error) {
        expect(isGoldcrestError(error) || error instanceof SettingsError).toBe(true);
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});
