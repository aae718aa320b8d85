import { FeedError } from './feedError.js';
import type { FeedMessage } from './feedMessage.js';

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isText = (value: unknown): value is string => typeof value === 'string';

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

const isFlag = (value: unknown): value is boolean => typeof value === 'boolean';

const isOffset = (value: unknown): value is number => Number.isSafeInteger(value);

const isUndefinedOr = (isValid: (value: unknown) => boolean, value: unknown): boolean =>
  value === undefined || isValid(value);

const isListOf = (isValid: (item: unknown) => boolean, value: unknown): boolean =>
  Array.isArray(value) && value.every(isValid);

const isRecord = (value: unknown): boolean =>
  isFields(value) &&
  isText(value.key) &&
  (value.value === undefined || Buffer.isBuffer(value.value));

const isBatch = (value: unknown): boolean =>
  isFields(value) &&
  isText(value.topic) &&
  isAmount(value.era) &&
  isOffset(value.from) &&
  isOffset(value.next) &&
  isListOf(isRecord, value.records);

const isPosition = (value: unknown): boolean =>
  isFields(value) &&
  isText(value.topic) &&
  isAmount(value.era) &&
  isOffset(value.position) &&
  isAmount(value.provedAgeMs);

const isChange = (value: unknown): boolean =>
  isFields(value) &&
  isFlag(value.isPresent) &&
  isText(value.salt) &&
  isText(value.partId) &&
  isAmount(value.tokens);

const isBlocks = (value: unknown): boolean =>
  isFields(value) &&
  isText(value.address) &&
  isUndefinedOr(isAmount, value.epoch) &&
  isFlag(value.isWhole) &&
  isUndefinedOr(isAmount, value.clockMs) &&
  isUndefinedOr(isAmount, value.next) &&
  isUndefinedOr(isFlag, value.hasMore) &&
  isListOf(isChange, value.changes);

/** Tells by kind whether the fields of a message are valid. */
const VALIDATORS: ReadonlyMap<unknown, (fields: Fields) => boolean> = new Map<
  unknown,
  (fields: Fields) => boolean
>([
  ['hello', ({ vmId, nonce }) => isText(vmId) && isText(nonce)],
  [
    'framedTunnel',
    ({ vmId, nonce, upstreamId }) => isText(vmId) && isText(nonce) && isText(upstreamId),
  ],
  ['ask', ({ question }) => isAmount(question)],
  ['heartbeat', ({ record }) => isRecord(record)],
  ['streams', ({ record }) => isRecord(record)],
  ['batch', ({ batch }) => isBatch(batch)],
  ['positions', ({ question, positions }) => isAmount(question) && isListOf(isPosition, positions)],
  ['blocks', ({ blocks }) => isBlocks(blocks)],
]);

const assertFields = (kind: unknown, fields: Fields): void => {
  if (!VALIDATORS.get(kind)!(fields)) throw new FeedError(`invalid message: ${String(kind)}`);
};

/**
 * Checks the fields of a decoded message, and those of the messages in a list. A list may hold kinds of
 * a later version, which its receiver ignores, but no other list.
 *
 * @throws FeedError
 */
export function assertFeedMessage(message: unknown): asserts message is FeedMessage {
  const kind = isFields(message) ? message.kind : undefined;
  if (!isFields(message) || !(kind === 'several' || VALIDATORS.has(kind))) {
    throw new FeedError('unknown message kind');
  }
  if (kind !== 'several') {
    assertFields(kind, message);
    return;
  }
  const { messages } = message;
  if (!Array.isArray(messages)) throw new FeedError('invalid message: several');
  messages.forEach((item: unknown) => {
    if (!isFields(item)) throw new FeedError('invalid message in a list');
    if (item.kind === 'several') throw new FeedError('a list of messages within a list');
    if (VALIDATORS.has(item.kind)) assertFields(item.kind, item);
  });
}
