/** Generation and recording of the requests of a run. */
export * from './generateRequests.js';
export * from './plannedRequest.js';
export * from './promptText.js';
export * from './randomSource.js';
export * from './recording.js';
