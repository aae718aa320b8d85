/** The configuration table: rows, the state machine that applies log records, and the editor. */
export { CONFIG_STREAM } from './constants.js';
export * from './compareAndSetStateMachine.js';
export * from './readBackEditor.js';
export * from './records.js';
export * from './tableReplica.js';
export * from './rows.js';
export * from './serviceCalls.js';
export * from './snapshotPolicy.js';
export * from './tableState.js';
export * from './tableEditor.js';
export * from './tableStateMachine.js';
export * from './tableGapError.js';
export * from './tableView.js';
export * from './validateChange.js';
