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

test('a part of a failed prompt is neither cached there nor announced', () => {
  const sentParts = new SentParts();
  [0, 1].forEach((index) => sentParts.recordSent('part', toUpstream(index)));
  sentParts.dropSent('part', toUpstream(0));
  sentParts.dropSent('part', toUpstream(0));
  sentParts.dropSent('other', toUpstream(0));
  expect([0, 1].map((index) => sentParts.has('part', toUpstream(index)))).toEqual([false, true]);
  expect(sentParts.takeUnannounced().map(({ upstreamId }) => upstreamId)).toEqual([toUpstream(1)]);
});
