/** Input and pauses of the process's event loop. */
export { PauseMonitor } from './pauseMonitor.js';
export type { EventCounts, Pause, PauseMonitorOptions } from './pauseMonitor.js';
