import { Packr } from 'msgpackr';
import type { StoredBlockChange, UpstreamId, VmId } from '@goldcrestscale/core';
import type { KeyedRecord, LogEra, LogTopic } from '../ports/index.js';
import { assertFeedMessage } from './assertFeedMessage.js';
import { FeedError } from './feedError.js';

/** Records of a topic that a relay has read. Sent over the network. */
export interface RelayedBatch {
  readonly topic: LogTopic;
  readonly era: LogEra;
  /** Offset of the first record. */
  readonly from: number;
  /** Offset after the last record. */
  readonly next: number;
  readonly records: readonly KeyedRecord[];
}

/** A relay's read position in a topic. Sent over the network. */
export interface RelayedPosition {
  readonly topic: LogTopic;
  readonly era: LogEra;
  readonly position: number;
  /** Time since a moment at which the relay had read all records of the topic. */
  readonly provedAgeMs: number;
}

/** Changes of a block store, or its complete contents. Sent over the network. */
export interface RelayedBlocks {
  readonly address: string;
  /** Epoch of the store, which changes when it restarts; undefined if it is unavailable. */
  readonly epoch: number | undefined;
  /** Whether the changes are the complete contents of the store. */
  readonly isWhole: boolean;
  /** Time on the servers' clock when the store was read. */
  readonly clockMs: number | undefined;
  readonly changes: readonly StoredBlockChange[];
  /** Offset of the store's next event; undefined if it is unavailable, or from an earlier version. */
  readonly next?: number | undefined;
  /** Whether more of the store's contents follow; undefined for changes, or from an earlier version. */
  readonly hasMore?: boolean | undefined;
}

/** Message between a relay and a follower of its group, or a request for a tunnel. Sent over the network. */
export type FeedMessage =
  /** First message of a follower; the MACs of both directions cover the nonce. */
  | { readonly kind: 'hello'; readonly vmId: VmId; readonly nonce: string }
  /**
   * Only message of a VM that asks for a connection to an upstream. The bytes that follow are requests
   * to the upstream, and the replies are the frames of a tunnel. Earlier versions asked with `tunnel`,
   * and took the end of this connection for that of the upstream's.
   */
  | {
      readonly kind: 'framedTunnel';
      readonly vmId: VmId;
      readonly nonce: string;
      readonly upstreamId: UpstreamId;
    }
  /** A follower requests the relay's read positions; the response repeats the number. */
  | { readonly kind: 'ask'; readonly question: number }
  /** A follower's heartbeat, for the relay to append to the log with its own. */
  | { readonly kind: 'heartbeat'; readonly record: KeyedRecord }
  /** Streams that a follower has begun, for the relay to append to the log. */
  | { readonly kind: 'streams'; readonly record: KeyedRecord }
  | { readonly kind: 'batch'; readonly batch: RelayedBatch }
  | {
      readonly kind: 'positions';
      readonly question: number;
      readonly positions: readonly RelayedPosition[];
    }
  | { readonly kind: 'blocks'; readonly blocks: RelayedBlocks }
  /** Several messages in one frame. */
  | { readonly kind: 'several'; readonly messages: readonly FeedMessage[] };

// Decoded values must not keep what they came in.
const packr = new Packr({ useRecords: false, copyBuffers: true });

/** Encodes the content of a message, which is the same for all connections. */
export const encodeFeedContent = (message: FeedMessage): Buffer => packr.pack(message);

/** @throws FeedError if the message is invalid or its kind unknown */
export const decodeFeedContent = (content: Buffer): FeedMessage => {
  let message: unknown;
  try {
    message = packr.unpack(content);
  } catch (cause) {
    throw new FeedError('message can not be decoded', { cause });
  }
  assertFeedMessage(message);
  return message;
};
