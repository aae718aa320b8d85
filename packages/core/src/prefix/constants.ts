/** Tokens in one prompt block. */
export const BLOCK_TOKENS = 1024;

/** Bytes of prompt text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Bytes of prompt text in one block. */
export const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

/** Bytes of a key that tell the client account. */
export const ACCOUNT_TAG_BYTES = 4;

/** Bytes of a key that tell the group of blocks, by which the index is partitioned. */
export const GROUP_TAG_BYTES = 4;

/** Bytes of a key that identify the block. */
export const BLOCK_DIGEST_BYTES = 16;

/** Consecutive blocks of one chain that share a group tag and so an owner. */
export const BLOCKS_PER_GROUP = 16;

/** Bytes of an account secret. */
export const ACCOUNT_SECRET_BYTES = 32;

/** Most locations that an index holds unless told otherwise. */
export const DEFAULT_MAX_LOCATIONS = 1_000_000;

/** Slots of a new location table. */
export const INITIAL_TABLE_SLOTS = 1024;

/** Share of used slots above which a location table is rebuilt. */
export const MAX_TABLE_LOAD = 0.75;

/** Share of the locations that one pruning drops. */
export const PRUNE_SHARE = 1 / 16;

/** Locations looked at to find the age limit of a pruning. */
export const PRUNE_SAMPLES = 2048;

/** Factor on a holder's trust for each gap in its events that asking again did not fill. */
export const GAP_TRUST_FACTOR = 0.7;

/** Weight of one usage report in a holder's trust. */
export const TRUST_LEARN_RATE = 0.1;

/** Least trust in a holder; lets it recover by reports. */
export const MIN_TRUST = 0.05;

/** Earlier boots of an upstream whose late events are still recognised. */
export const REMEMBERED_BOOTS = 8;

/** Copies of each index entry in a fleet. */
export const INDEX_COPIES = 3;
