/** A test entry in a process of its own; the addresses of its upstreams are its arguments. */
import { startHarness } from './entryHarness.js';

/** A message of the process to its parent. */
export type EntryProcessMessage =
  { readonly kind: 'listening'; readonly baseUrl: string } | { readonly kind: 'blocking' };

const tell = (message: EntryProcessMessage): void => {
  process.send?.(message);
};

/** Keeps the event loop busy. */
const block = (durationMs: number): void => {
  tell({ kind: 'blocking' });
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs);
};

const { baseUrl } = await startHarness({ upstreams: process.argv.slice(2) });
process.on('message', ({ blockMs }: { readonly blockMs: number }) => block(blockMs));
process.on('disconnect', () => process.kill(process.pid));
tell({ kind: 'listening', baseUrl });
