import { Packr } from 'msgpackr';
import type { StoredBlockChange, VmId } from '@goldcrestscale/core';
import type { KeyedRecord, LogTopic } from '../ports/index.js';
import { FeedError } from './feedError.js';

/** Records of a topic that a relay has read. */
export interface RelayedBatch {
  readonly topic: LogTopic;
  /** Position of the first record. */
  readonly from: number;
  /** Position after the last record. */
  readonly next: number;
  readonly records: readonly KeyedRecord[];
}

/** How far a relay has read a topic. */
export interface RelayedPosition {
  readonly topic: LogTopic;
  readonly position: number;
  /** Time since a moment at which it knew every record until then, in milliseconds. */
  readonly provedAgeMs: number;
}

/** Changes of a store, or all that it holds. */
export interface RelayedBlocks {
  readonly address: string;
  /** Run of the store; undefined where it does not answer. */
  readonly epoch: number | undefined;
  /** Whether the changes list all that the store holds. */
  readonly isWhole: boolean;
  /** The servers' clock when the store was read, in milliseconds. */
  readonly clockMs: number | undefined;
  readonly changes: readonly StoredBlockChange[];
}

/** What VMs of one zone tell each other over a connection. */
export type FeedMessage =
  /** A follower begins; its proofs and those of the answers contain the nonce. */
  | { readonly kind: 'hello'; readonly vmId: VmId; readonly nonce: string }
  /** A follower asks how far the relay has read; the number comes back with the answer. */
  | { readonly kind: 'ask'; readonly question: number }
  /** The heartbeat that the relay is to write with its own. */
  | { readonly kind: 'heartbeat'; readonly record: KeyedRecord }
  | { readonly kind: 'batch'; readonly batch: RelayedBatch }
  | {
      readonly kind: 'positions';
      readonly question: number;
      readonly positions: readonly RelayedPosition[];
    }
  | { readonly kind: 'blocks'; readonly blocks: RelayedBlocks }
  /** Messages that are sent together. */
  | { readonly kind: 'several'; readonly messages: readonly FeedMessage[] };

const KINDS: ReadonlySet<string> = new Set<FeedMessage['kind']>([
  'hello',
  'ask',
  'heartbeat',
  'batch',
  'positions',
  'blocks',
  'several',
]);

const packr = new Packr({ useRecords: false });

/** Encodes the part of a message that is the same for every connection. */
export const encodeFeedContent = (message: FeedMessage): Buffer => packr.pack(message);

/** @throws FeedError where the content is of no known kind */
export const decodeFeedContent = (content: Buffer): FeedMessage => {
  const message: unknown = packr.unpack(content);
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  if (typeof kind !== 'string' || !KINDS.has(kind)) throw new FeedError('message of no known kind');
  return message as FeedMessage;
};
