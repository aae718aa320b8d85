/** Interfaces that a platform implements. */
export { CallerProtocol } from './callerProtocol.js';
export type { CallerHead, DirectoryQuery } from './callerProtocol.js';
export { RecordCodec } from './recordCodec.js';
export { LogTrimmedError } from './logTrimmedError.js';
export { SharedLog } from './sharedLog.js';
export type { KeyedRecord, LogBatch, LogSnapshot, LogTopic, ReadOptions } from './sharedLog.js';
export { UpstreamProtocol } from './upstreamProtocol.js';
export type {
  AnswerHead,
  AttemptFacts,
  BlockEvents,
  BlockEventsQuery,
  BlockTransfers,
  EngineState,
  OrderOutcome,
  UpstreamCallOptions,
  WeightOrder,
} from './upstreamProtocol.js';
