import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { CappedEjectionPolicy } from '../cappedEjectionPolicy.js';
import { CONSECUTIVE_FAILURES_TO_OPEN } from '../constants.js';
import type { EjectionPolicy } from '../ejectionPolicy.js';

export const makeUpstreamId = (index: number): UpstreamId => toId<UpstreamId>(`engine-${index}`);

export const addUpstreams = (
  size: number,
  policy: EjectionPolicy = new CappedEjectionPolicy(createRandomGenerator(1)),
) => {
  for (let index = 0; index < size; index += 1)
    policy.setGroup(makeUpstreamId(index), 'engine/small');
  return policy;
};

export const failUntilOpen = (policy: EjectionPolicy, index: number): void => {
  for (let count = 0; count < CONSECUTIVE_FAILURES_TO_OPEN; count += 1)
    policy.recordOutcome(makeUpstreamId(index), 'failure');
};
