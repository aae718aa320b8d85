/** Initial prefill rate, used until a rate has been measured, in tokens per millisecond. */
export const INITIAL_PREFILL_TOKENS_PER_MS = 80;

/** Bounds of the measured prefill rate, in tokens per millisecond. */
export const MIN_PREFILL_TOKENS_PER_MS = 20;
export const MAX_PREFILL_TOKENS_PER_MS = 400;

/**
 * Minimum number of prefilled tokens for a first-byte latency to count as a sample of the prefill
 * rate.
 */
export const MIN_PREFILL_SAMPLE_TOKENS = 4_000;

/**
 * Cost added to engines other than the session's home engine, in milliseconds; provides session
 * affinity.
 */
export const NON_HOME_COST_MS = 4;

/**
 * Time that each request at an engine adds to the time to first token of the next, in milliseconds.
 */
export const COST_PER_REQUEST_MS = 3;

/**
 * Time for which a prompt part counts as cached at the upstream it was sent to, in milliseconds.
 */
export const SENT_PART_TTL_MS = 5_000;

/** Maximum number of sent prompt parts announced to other VMs per message. */
export const MAX_ANNOUNCED_PARTS = 60;

/** Maximum number of prompt parts whose upstreams are tracked. */
export const MAX_TRACKED_PARTS = 20_000;

/** Maximum number of tracked pairs of a prompt part and an upstream that it was sent to. */
export const MAX_TRACKED_SENDS = 100_000;

/**
 * Time after the announcement of newer weights during which older ones have no extra cost, in
 * milliseconds.
 */
export const OUTDATED_WEIGHTS_GRACE_MS = 1_500;

/** Cost added to engines with outdated weights after the grace period, in milliseconds. */
export const OUTDATED_WEIGHTS_COST_MS = 60;

/** Rendezvous hashing key by which all VMs select the same engines to reserve for short prompts. */
export const RESERVED_ENGINES_KEY = 'express';

/** Maximum fraction of the engines reserved for short prompts under overload. */
export const MAX_RESERVED_FRACTION = 2 / 3;

/** Factor on the average demand of short prompts when sizing the reserved engines. */
export const RESERVED_ENGINES_HEADROOM = 1.3;

/** A prompt is long if its prefill time exceeds this fraction of the shortest objective. */
export const LONG_PROMPT_FRACTION = 0.25;

/**
 * Engines are overloaded if their mean queue time exceeds this fraction of the shortest objective.
 */
export const OVERLOAD_QUEUE_FRACTION = 0.3;

/**
 * Maximum queue time for a prompt that misses its objective, as a fraction of the caller's timeout.
 */
export const MAX_QUEUE_TIMEOUT_FRACTION = 0.7;

/** Fraction of an engine's memory available to prompts; outputs and cached parts take the rest. */
export const PROMPT_MEMORY_FRACTION = 0.8;

/** Minimum number of engines in a zone for its VMs to prefer them over those of other zones. */
export const MIN_ZONE_ENGINES = 6;

/**
 * Number of engines considered first for a session. Two choices balance well on stale load
 * figures; the third covers the loss of an engine.
 */
export const SESSION_CANDIDATES = 3;

/** Number of engines drawn at random that are compared with those of the session. */
export const SAMPLED_CANDIDATES = 3;

/**
 * Fraction of the objective within which one of these engines must be expected to return the first
 * token.
 */
export const SESSION_OBJECTIVE_FRACTION = 0.4;
