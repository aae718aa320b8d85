/** Index of which engine has which prompt block in its prefix cache. */
export * from './prefixIndexController.js';
