/** Input and pauses of the process's event loop. */
export { EventLoopBarrier } from './eventLoopBarrier.js';
export { InputBarrier } from './inputBarrier.js';
export { PauseMonitor } from './pauseMonitor.js';
export { ReadTurns } from './readTurns.js';
export type { ReadTurnsOptions } from './readTurns.js';
export type { EventCounts, Pause, PauseMonitorOptions } from './pauseMonitor.js';
