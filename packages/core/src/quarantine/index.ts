/** Refusal of prompts with a part that crashes engines. */
export { MIN_SURVIVAL_EVENTS, REFUSAL_IDLE_MS } from './constants.js';
export type { CrashRow, QuarantineRow } from './partEvidence.js';
export { PartQuarantine } from './partQuarantine.js';
export type { PromptOfAccount, QuarantineChange } from './partQuarantine.js';
