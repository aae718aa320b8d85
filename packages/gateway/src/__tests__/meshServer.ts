import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { onTestFinished } from 'vitest';
import { EntryRoster } from '@goldcrestscale/core';
import { createLogger, createMetricsRegistry } from '@goldcrestscale/runtime';
import { encodeFeedContent } from '../mesh/feedMessage.js';
import type { FeedMessage } from '../mesh/feedMessage.js';
import { FeedServer } from '../mesh/feedServer.js';
import { FeedWriter } from '../mesh/feedWriter.js';
import { createGatewayMetrics } from '../metrics.js';
import { findPort, keepHeartbeats, makeEntries } from './feedFixtures.js';
import { createTestFaults } from './testFaults.js';

export const NONCE = 'nonce';

/** Starts a relay that knows 40 VMs, and counts the connections that it keeps. */
export const startMeshServer = async (memoryBytes: number) => {
  const port = await findPort();
  const roster = new EntryRoster();
  keepHeartbeats(roster, makeEntries(40));
  const abortController = new AbortController();
  onTestFinished(() => abortController.abort());
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const server = new FeedServer({
    address: `127.0.0.1:${port}`,
    key: 'key of relay',
    roster,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    faults: createTestFaults().faults,
    metrics,
    memoryBytes,
    linkMbps: 100_000,
    listPositions: () => [],
    listStores: () => [],
    scanBlocks: () => ({ nextPart: () => undefined }),
    onStreamRecord: () => undefined,
    onTunnel: () => undefined,
    isAlive: () => true,
  });
  await server.start(abortController.signal);
  const open = (bytes?: Uint8Array): Socket => {
    const socket = connect(port, '127.0.0.1');
    onTestFinished(() => {
      socket.destroy();
    });
    socket.on('error', () => undefined);
    if (bytes) socket.write(bytes);
    return socket;
  };
  /** Connects as a VM that the relay knows. */
  const follow = (name: string) => {
    const writer = new FeedWriter({ key: `key of ${name}`, nonce: NONCE });
    const encode = (message: unknown): Buffer =>
      writer.encode(encodeFeedContent(message as FeedMessage));
    const socket = open(encode({ kind: 'hello', vmId: name, nonce: NONCE }));
    return { socket, encode };
  };
  return { server, open, follow, metrics };
};
