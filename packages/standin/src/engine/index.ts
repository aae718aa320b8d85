/** Stand-in for a model engine. */
export * from './answerText.js';
export { renderPrompt } from './completionRequest.js';
export * from './engineRole.js';
export * from './engineSettings.js';
