import { expect, test } from 'vitest';
import { toId } from '../../ids.js';
import type { UpstreamId } from '../../ids.js';
import { hashString } from '../../membership/rendezvous.js';
import { SentParts } from '../index.js';

const toUpstream = (index: number) => toId<UpstreamId>(`upstream-${index}`);

// Guards against memory for any number of upstreams that other VMs name for a prompt part.
test('a bounded number of upstreams is tracked over all parts', () => {
  const sentParts = new SentParts();
  const recordMany = (key: string) => {
    for (let index = 0; index < 60_000; index += 1)
      sentParts.recordPart({ hash: hashString(key), upstreamId: toUpstream(index) });
  };
  recordMany('first');
  expect(sentParts.has('first', toUpstream(0))).toBe(true);
  recordMany('second');
  expect(sentParts.has('first', toUpstream(0))).toBe(false);
  expect(sentParts.has('second', toUpstream(0))).toBe(true);
  sentParts.recordSent('third', toUpstream(0));
  expect(sentParts.has('third', toUpstream(0))).toBe(true);
});
