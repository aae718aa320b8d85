import type { OperatorChange, RegistryChange } from '@goldcrestscale/core';
import type { KeyedRecord } from './sharedLog.js';

/** Decodes the records that operators and upstreams write. */
export abstract class RecordCodec {
  /** @returns undefined where the record is of no known kind or can't be read */
  abstract decodeOperator(record: KeyedRecord): OperatorChange | undefined;

  /** A record that can't be read names no usable upstream. */
  abstract decodeUpstream(record: KeyedRecord): RegistryChange;
}
