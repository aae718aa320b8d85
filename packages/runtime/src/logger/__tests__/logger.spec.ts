import { PassThrough } from 'node:stream';
import fc from 'fast-check';
import { afterEach, expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { ClientAccountId, RequestId } from '@goldcrestscale/core';
import {
  clearSecrets,
  createLogger,
  isPrivateFieldName,
  redactText,
  registerSecret,
} from '../index.js';
import type { Logger, LoggerOptions } from '../index.js';

afterEach(clearSecrets);

const createCapture = (options: Partial<LoggerOptions> = {}) => {
  const stream = new PassThrough();
  const logger = createLogger({
    part: 'routing',
    level: 'info',
    format: 'json',
    debugParts: '',
    stream,
    ...options,
  });
  return { logger, readText: (): string => String(stream.read() ?? '') };
};

test('adds the part prefix and the inherited fields to each line', () => {
  const { logger, readText } = createCapture();
  const child = logger.createChild({
    requestId: toId<RequestId>('r1'),
    accountId: toId<ClientAccountId>('houtmeet'),
  });
  child.info('chose an upstream', { upstreamId: 'engine-1' });
  child.createPartLogger('once').warn('claim lost');
  const lines = readText()
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as Record<string, unknown>);
  expect(lines).toMatchObject([
    { message: '[routing] chose an upstream', requestId: 'r1', accountId: 'houtmeet' },
    { message: '[once] claim lost', requestId: 'r1', accountId: 'houtmeet', level: 'warn' },
  ]);
});

test('formats lines for humans', () => {
  const { logger, readText } = createCapture({ format: 'human' });
  logger.error('failed', { error: new TypeError('no route'), level: 'info' });
  expect(readText()).toMatch(/^\S+ error \[routing\] failed error=\{.*no route.*\}\n$/);
});

test('logs at debug level for the listed parts only', () => {
  const { logger, readText } = createCapture({ debugParts: 'mesh, once' });
  logger.debug('hidden');
  logger.createPartLogger('mesh').debug('shown');
  expect(readText()).toMatch(/^[^\n]*\[mesh\] shown[^\n]*\n$/);
});

const marker = 'x9-private-marker-9x';
const redactionCases: readonly (readonly [string, (logger: Logger) => void])[] = [
  ['prompt', (logger) => logger.info('a', { prompt: marker })],
  ['messages', (logger) => logger.info('a', { request: { messages: [{ content: marker }] } })],
  ['nested list', (logger) => logger.info('a', { list: [{ apiKey: marker }] })],
  ['child', (logger) => logger.createChild({ idempotencyKey: marker }).info('a')],
  ['bearer', (logger) => logger.info(`header Bearer ${marker}`)],
  ['made key', (logger) => logger.info('a', { note: `gck_${marker}` })],
  ['error', (logger) => logger.info('a', { error: new Error(`Bearer ${marker}`) })],
  ['cause', (logger) => logger.info('a', { error: new Error('b', { cause: marker }) })],
  ['bytes', (logger) => logger.info('a', { chunk: Buffer.from(marker) })],
];

test.each(redactionCases)('redacts %s', (_name, write) => {
  const { logger, readText } = createCapture();
  write(logger);
  const text = readText();
  expect(text).toContain('[routing]');
  expect(text).not.toContain(marker);
});

test('redacts registered secrets anywhere in a text', () => {
  fc.assert(
    fc.property(
      fc.string({ minLength: 6, maxLength: 40, unit: 'grapheme-ascii' }),
      fc.string(),
      (secret, noise) => {
        clearSecrets();
        registerSecret(secret);
        fc.pre(!'[redacted]'.includes(secret));
        expect(redactText(noise + secret + noise)).not.toContain(secret);
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test('recognizes the names of private fields', () => {
  for (const name of ['prompt', 'meshKey', 'api_key', 'key', 'clientSecret', 'blocks']) {
    expect(isPrivateFieldName(name), name).toBe(true);
  }
  for (const name of ['requestId', 'maxTokens', 'promptTokens', 'upstreamId', 'monkey']) {
    expect(isPrivateFieldName(name), name).toBe(false);
  }
});
