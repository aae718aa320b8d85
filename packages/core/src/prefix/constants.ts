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
