/** Prompt tokens that an engine reads in a millisecond, until a site's own rate is known. */
export const PREFILL_TOKENS_PER_MS = 80;

/** Bounds of the learned rate, in tokens a millisecond. */
export const PREFILL_MIN_TOKENS_PER_MS = 20;
export const PREFILL_MAX_TOKENS_PER_MS = 400;

/** Tokens from which a first byte tells of the rate. */
export const PREFILL_SAMPLE_TOKENS = 4_000;

/** Cost of an engine that others would not choose, in milliseconds: keeps a session together. */
export const AWAY_COST_MS = 4;

/** Time that one more request at an engine adds to the first token of the next, in milliseconds. */
export const LOAD_COST_MS = 3;

/** Time for which a prompt part counts as cached where this VM has sent it, in milliseconds. */
export const SENT_MEMORY_MS = 5_000;

/** Prompt parts that one message tells the other VMs at the most. */
export const SENT_NEWS_PARTS = 60;

/** Prompt parts whose last engine a VM remembers. */
export const SENT_MEMORY_PARTS = 20_000;

/** Age of newer weights from which older ones are worth less, in milliseconds. */
export const OLD_WEIGHTS_GRACE_MS = 1_500;

/** Extra cost of older weights after the grace, in milliseconds of waiting. */
export const OLD_WEIGHTS_COST_MS = 60;

/** Key by which all VMs agree on the engines that long prompts keep off. */
export const EXPRESS_KEY = 'express';

/** Largest part of the engines that long prompts keep off under overload. */
export const EXPRESS_MAX_SHARE = 2 / 3;

/** Room kept for short prompts beside what they need on average. */
export const EXPRESS_RESERVE = 1.3;

/** Part of the least objective from which the read of a prompt counts as long. */
export const LONG_READ_SHARE = 0.25;

/** Part of the least objective from which the mean queue of the engines counts as overload. */
export const OVERLOAD_SHARE = 0.3;

/** Part of a caller's patience up to which a queue is joined. */
export const PATIENCE_SHARE = 0.7;

/** Part of an engine's memory that prompts may fill; their answers and cached parts take the rest. */
export const MEMORY_SHARE = 0.8;

/** Engines of one zone from which its VMs leave those of other zones alone. */
export const NEAR_MIN_ENGINES = 6;

/** Engines that are looked at first for a session: two choices spread well on old figures, one more for a loss. */
export const FIRST_CANDIDATES = 3;

/** Part of the objective within which one of them must be expected to answer. */
export const FIRST_OBJECTIVE_SHARE = 0.4;
