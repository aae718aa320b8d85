import { toId } from '@goldcrestscale/core';
import type { BlockKey, BlockSeal, ManifestBlock, StoredBlock } from '@goldcrestscale/core';
import { request } from 'undici';
import { z } from 'zod';
import { CONTROL_TIMEOUT_MS } from '../../constants.js';

/** A block and the name it has at a store VM. */
export interface NamedBlock {
  readonly key: BlockKey;
  readonly name: string;
}

/** A block that an engine has read from a store VM and not put to use yet. */
export interface StagedBlock extends BlockSeal {
  readonly key: BlockKey;
}

/** Blocks staged at an engine. */
export interface Stage {
  readonly importId: string;
  readonly blocks: readonly StagedBlock[];
}

/** State of a store VM. */
export interface Manifest {
  readonly incarnation: string;
  readonly capacityBytes: number;
  readonly linkBytesPerSecond: number;
  readonly activeTransfers: number;
  readonly blocks: readonly ManifestBlock[];
}

const keySchema = z.string().transform((value) => toId<BlockKey>(value));

const stageSchema = z.object({
  importId: z.string(),
  blocks: z.array(
    z.object({
      key: keySchema,
      length: z.number(),
      checksum: z.string(),
      generation: z.number(),
      incarnation: z.string(),
    }),
  ),
});

const exportSchema = z.object({
  blocks: z.array(z.object({ key: keySchema, length: z.number(), checksum: z.string() })),
});

const commitSchema = z.object({ incarnation: z.string() });

const tierSchema = z.object({ capacityBytes: z.number() });

const manifestSchema = z
  .object({
    incarnation: z.string(),
    memory: tierSchema,
    disk: tierSchema,
    linkBytesPerSecond: z.number().positive(),
    activeTransfers: z.number(),
    blocks: z.array(
      z.object({
        name: z.string(),
        length: z.number(),
        checksum: z.string(),
        generation: z.number(),
        state: z.enum(['temporary', 'committed', 'freed']),
      }),
    ),
  })
  .transform(({ memory, disk, ...rest }) => ({
    ...rest,
    capacityBytes: memory.capacityBytes + disk.capacityBytes,
  }));

/** Failure of a call, with the status of its answer. */
export class BlockCallError extends Error {
  override readonly name = 'BlockCallError';

  constructor(
    path: string,
    readonly status: number,
  ) {
    super(`the call of ${path} was answered with status ${status}`);
  }
}

const send = async (
  method: 'GET' | 'POST' | 'DELETE',
  url: string,
  signal: AbortSignal,
  body?: object,
): Promise<unknown> => {
  const response = await request(url, {
    method,
    signal,
    headersTimeout: 0,
    headers: { 'content-type': 'application/json' },
    body: body ? JSON.stringify(body) : null,
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) throw new BlockCallError(url, response.statusCode);
  return text === '' ? {} : JSON.parse(text);
};

const buildBlockUrl = (store: string, name: string): string =>
  `http://${store}/blocks/${encodeURIComponent(name)}`;

/** Calls of engines and store VMs that move blocks; addresses are host and port. */
export const blockCalls = {
  async export(engine: string, store: string, block: NamedBlock, signal: AbortSignal) {
    const body = { blocks: [block], storeUrl: `http://${store}` };
    const answer = await send('POST', `http://${engine}/kv/export`, signal, body);
    return exportSchema.parse(answer).blocks[0];
  },

  async commitBlock(
    store: string,
    name: string,
    seal: Omit<BlockSeal, 'incarnation'>,
    signal: AbortSignal,
  ): Promise<string> {
    const answer = await send('POST', `${buildBlockUrl(store, name)}/commit`, signal, seal);
    return commitSchema.parse(answer).incarnation;
  },

  async import(
    engine: string,
    store: string,
    blocks: readonly NamedBlock[],
    signal: AbortSignal,
  ): Promise<Stage> {
    const body = { blocks, storeUrl: `http://${store}` };
    return stageSchema.parse(await send('POST', `http://${engine}/kv/import`, signal, body));
  },

  async commitImport(
    engine: string,
    importId: string,
    keys: readonly BlockKey[],
    signal: AbortSignal,
  ): Promise<void> {
    const url = `http://${engine}/kv/import/${importId}`;
    if (keys.length > 0) await send('POST', `${url}/commit`, signal, { keys });
    else await send('DELETE', url, signal);
  },

  async fetchManifest(store: string, signal: AbortSignal): Promise<Manifest> {
    const limited = AbortSignal.any([signal, AbortSignal.timeout(CONTROL_TIMEOUT_MS)]);
    return manifestSchema.parse(await send('GET', `http://${store}/manifest`, limited));
  },

  async markFreed(store: string, block: StoredBlock, signal: AbortSignal): Promise<void> {
    await send('POST', `${buildBlockUrl(store, block.name)}/tombstone`, signal, {});
  },

  async delete(store: string, block: StoredBlock, signal: AbortSignal): Promise<void> {
    await send('DELETE', buildBlockUrl(store, block.name), signal);
  },
};

/** Calls that move blocks. */
export type BlockCalls = typeof blockCalls;
