import type { OperatorChange, RegistryChange } from '@goldcrestscale/core';
import type { KeyedRecord } from './sharedLog.js';

/** Decodes the log records of operators and upstreams. */
export abstract class RecordCodec {
  /** @returns undefined if the record is invalid or of an unknown kind */
  abstract decodeOperatorChange(record: KeyedRecord): OperatorChange | undefined;

  /** Decodes an invalid record as the absence of its upstream. */
  abstract decodeRegistryChange(record: KeyedRecord): RegistryChange;
}
