import type { StoredBlockChange } from '@goldcrestscale/core';
import type { KeyedRecord } from '../ports/index.js';
import type { FeedMessage } from './feedMessage.js';

/** Size from which a message to followers ends, in bytes; followers refuse one of 16 MB. */
export const MAX_PART_BYTES = 512 * 1024;

/** Memory of an item beside its texts, in bytes. */
const ITEM_OVERHEAD_BYTES = 64;

/** Estimates the bytes of a block in a message. */
export const estimateChangeBytes = ({ salt, partId }: StoredBlockChange): number =>
  ITEM_OVERHEAD_BYTES + salt.length + partId.length;

const estimateRecordBytes = ({ key, value }: KeyedRecord): number =>
  ITEM_OVERHEAD_BYTES + key.length + (value?.length ?? 0);

const sumBytes = <Item>(items: readonly Item[], estimateBytes: (item: Item) => number): number =>
  items.reduce((bytes, item) => bytes + estimateBytes(item), 0);

const estimateMessageBytes = (message: FeedMessage): number => {
  if (message.kind === 'blocks') return sumBytes(message.blocks.changes, estimateChangeBytes);
  if (message.kind === 'batch') return sumBytes(message.batch.records, estimateRecordBytes);
  return ITEM_OVERHEAD_BYTES;
};

/** Splits a list where a part has reached its size; an item that is larger is a part by itself. */
const splitItems = <Item>(
  items: readonly Item[],
  estimateBytes: (item: Item) => number,
): readonly (readonly Item[])[] => {
  const parts: Item[][] = [[]];
  let partBytes = 0;
  items.forEach((item) => {
    const bytes = estimateBytes(item);
    if (partBytes > 0 && partBytes + bytes > MAX_PART_BYTES) {
      parts.push([]);
      partBytes = 0;
    }
    parts.at(-1)!.push(item);
    partBytes += bytes;
  });
  return parts;
};

/** Splits a message into several of the same effect. */
const splitMessage = (message: FeedMessage): readonly FeedMessage[] => {
  if (message.kind === 'blocks') {
    const { blocks } = message;
    const parts = splitItems(blocks.changes, estimateChangeBytes);
    return parts.map((changes, index) => ({
      kind: 'blocks',
      blocks: {
        ...blocks,
        changes,
        isWhole: blocks.isWhole && index === 0,
        // Its offset holds only behind all of the changes.
        next: index === parts.length - 1 ? blocks.next : undefined,
      },
    }));
  }
  if (message.kind !== 'batch') return [message];
  const { batch } = message;
  // Offsets that are not those of the records can't be told for a part of them.
  if (batch.next - batch.from !== batch.records.length) return [message];
  let { from } = batch;
  return splitItems(batch.records, estimateRecordBytes).map((records) => {
    const part = { ...batch, from, next: from + records.length, records };
    from = part.next;
    return { kind: 'batch', batch: part };
  });
};

/** Groups messages, in their order, into lists of bounded size. */
export const groupMessages = (
  messages: readonly FeedMessage[],
): readonly (readonly FeedMessage[])[] =>
  splitItems(messages.flatMap(splitMessage), estimateMessageBytes);
