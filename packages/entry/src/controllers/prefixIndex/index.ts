/** Which engine holds which prompt block. */
export * from './prefixIndexController.js';
