import { expect, test } from 'vitest';
import { ByteBudget, ByteReservation } from '@goldcrestscale/runtime';
import { EventSplitter } from '../dispatch/eventSplitter.js';

// Guards against events that count as passed on and are lost, because the next one has no memory.
test('complete events are emitted although there is no memory for the next one', () => {
  const splitter = new EventSplitter(new ByteReservation(new ByteBudget(0)));
  const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
  const chunk = Buffer.from(`${events}id: 3\nda`);
  const split = splitter.push(chunk, [events.length / 2, events.length]);
  expect(split.events.toString()).toBe(events);
  expect(split.hasRoom).toBe(false);
  expect(splitter.lastEventId).toBe(2);
});
