/** Interfaces that a platform implements. */
export { CallerProtocol } from './callerProtocol.js';
export type { CallerRequestHead, DirectoryQuery } from './callerProtocol.js';
export { RecordCodec } from './recordCodec.js';
export { LogTrimmedError } from './logTrimmedError.js';
export { FIRST_LOG_ERA, SharedLog } from './sharedLog.js';
export type {
  AppendedRecord,
  KeyedRecord,
  LogBatch,
  LogEra,
  LogReadOptions,
  LogSnapshot,
  LogTopic,
} from './sharedLog.js';
export { UpstreamProtocol } from './upstreamProtocol.js';
export type {
  AnnouncedLimitField,
  ResponseHead,
  AttemptMetadata,
  BlockEvents,
  BlockEventsQuery,
  BlockTransfers,
  EngineState,
  OrderOutcome,
  UpstreamCallOptions,
  WeightLoadOrder,
} from './upstreamProtocol.js';
