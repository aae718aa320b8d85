/** Refusal of requests that crash upstreams. */
export { MIN_SURVIVAL_EVENTS, REFUSAL_IDLE_MS } from './constants.js';
export type { CrashPattern, CrashSubject, PromptOfAccount, WholeRequest } from './crashPattern.js';
export { CrashQuarantine } from './crashQuarantine.js';
export type { QuarantineChange } from './crashQuarantine.js';
export type { CrashRow, QuarantineRow } from './patternEvidence.js';
export type { RequestTrial } from './requestTrials.js';
