/** Input and pauses of the process's event loop. */
export { EventLoopBarrier } from './eventLoopBarrier.js';
export { InputBarrier } from './inputBarrier.js';
export { PauseMonitor } from './pauseMonitor.js';
export type { EventCounts, Pause, PauseMonitorOptions } from './pauseMonitor.js';
