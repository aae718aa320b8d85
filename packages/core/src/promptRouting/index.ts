/** Engine selection for prompts whose parts are identified by the caller. */
export * from './constants.js';
export { listEngineGroups } from './engineGroups.js';
export type { EngineGroup } from './engineGroups.js';
export { findSessionPart, listSharedParts } from './prompt.js';
export type { Prompt, PromptPart } from './prompt.js';
export { PromptLanes, pickLane } from './promptLanes.js';
export type { PromptLane } from './promptLanes.js';
export { PrefillRate } from './prefillRate.js';
export { PromptRouter } from './promptRouter.js';
export type { PromptChoice, PromptDecision, PromptRefusal, PromptRequest } from './promptRouter.js';
export type { SentPart } from './sentParts.js';
export { SentParts } from './sentParts.js';
