/** A test gateway in a process of its own; its options come as JSON in the first argument. */
import { createTestGateway } from './testGateway.js';
import type { TestGatewayOptions } from './testGateway.js';

/** A message of the process to its parent. */
export type GatewayProcessMessage =
  { readonly kind: 'listening'; readonly port: number } | { readonly kind: 'blocking' };

const tell = (message: GatewayProcessMessage): void => {
  process.send?.(message);
};

/** Keeps the event loop busy. */
const block = (durationMs: number): void => {
  tell({ kind: 'blocking' });
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs);
};

const gateway = await createTestGateway(JSON.parse(process.argv[2]!) as TestGatewayOptions);
process.on('message', ({ blockMs }: { readonly blockMs: number }) => block(blockMs));
process.on('disconnect', () => gateway.close());
tell({ kind: 'listening', port: gateway.port });
