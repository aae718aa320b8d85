import { toId } from '@goldcrestscale/core';
import type { BlockKey, BlockFingerprint, ManifestBlock, StoredBlock } from '@goldcrestscale/core';
import { request } from 'undici';
import { z } from 'zod';
import { CONTROL_CALL_TIMEOUT_MS, TRANSFER_RESPONSE_LIMITS } from '../../constants.js';
import { readControlJson } from '../../upstream/readControlJson.js';

/** A block and its name at a store VM. */
export interface NamedBlock {
  readonly key: BlockKey;
  readonly name: string;
}

/** Block that an engine has read from a store VM and not committed yet. */
export interface StagedBlock extends BlockFingerprint {
  readonly key: BlockKey;
}

/** Blocks staged by an import at an engine. */
export interface StagedImport {
  readonly importId: string;
  readonly blocks: readonly StagedBlock[];
}

/** Contents and capacity of a store VM. */
export interface Manifest {
  readonly incarnation: string;
  readonly capacityBytes: number;
  readonly linkBytesPerSecond: number;
  readonly activeTransfers: number;
  readonly blocks: readonly ManifestBlock[];
}

const keySchema = z.string().transform((value) => toId<BlockKey>(value));

const stagedImportSchema = z.object({
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

const exportResponseSchema = z.object({
  blocks: z.array(z.object({ key: keySchema, length: z.number(), checksum: z.string() })),
});

const commitResponseSchema = z.object({ incarnation: z.string() });

const storageTierSchema = z.object({ capacityBytes: z.number() });

const manifestSchema = z
  .object({
    incarnation: z.string(),
    memory: storageTierSchema,
    disk: storageTierSchema,
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

/** Request to an engine or store VM that was answered with an error status. */
export class BlockTransferError extends Error {
  override readonly name = 'BlockTransferError';

  constructor(
    path: string,
    readonly status: number,
  ) {
    super(`block transfer request to ${path} failed with status ${status}`);
  }
}

const sendRequest = async (
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
  if (response.statusCode >= 300) {
    await response.body.dump();
    throw new BlockTransferError(url, response.statusCode);
  }
  return readControlJson(response.body, TRANSFER_RESPONSE_LIMITS);
};

const buildBlockUrl = (store: string, name: string): string =>
  `http://${store}/blocks/${encodeURIComponent(name)}`;

/** Client of the block transfer API of engines and store VMs; addresses are host and port. */
export const httpBlockTransferClient = {
  async export(engine: string, store: string, block: NamedBlock, signal: AbortSignal) {
    const body = { blocks: [block], storeUrl: `http://${store}` };
    const response = await sendRequest('POST', `http://${engine}/kv/export`, signal, body);
    return exportResponseSchema.parse(response).blocks[0];
  },

  async commitBlock(
    store: string,
    name: string,
    fingerprint: Omit<BlockFingerprint, 'incarnation'>,
    signal: AbortSignal,
  ): Promise<string> {
    const response = await sendRequest(
      'POST',
      `${buildBlockUrl(store, name)}/commit`,
      signal,
      fingerprint,
    );
    return commitResponseSchema.parse(response).incarnation;
  },

  async import(
    engine: string,
    store: string,
    blocks: readonly NamedBlock[],
    signal: AbortSignal,
  ): Promise<StagedImport> {
    const body = { blocks, storeUrl: `http://${store}` };
    return stagedImportSchema.parse(
      await sendRequest('POST', `http://${engine}/kv/import`, signal, body),
    );
  },

  async commitImport(
    engine: string,
    importId: string,
    keys: readonly BlockKey[],
    signal: AbortSignal,
  ): Promise<void> {
    const url = `http://${engine}/kv/import/${importId}`;
    if (keys.length > 0) await sendRequest('POST', `${url}/commit`, signal, { keys });
    else await sendRequest('DELETE', url, signal);
  },

  async fetchManifest(store: string, signal: AbortSignal): Promise<Manifest> {
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(CONTROL_CALL_TIMEOUT_MS)]);
    return manifestSchema.parse(
      await sendRequest('GET', `http://${store}/manifest`, timeoutSignal),
    );
  },

  async markFreed(store: string, block: StoredBlock, signal: AbortSignal): Promise<void> {
    await sendRequest('POST', `${buildBlockUrl(store, block.name)}/tombstone`, signal, {});
  },

  async delete(store: string, block: StoredBlock, signal: AbortSignal): Promise<void> {
    await sendRequest('DELETE', buildBlockUrl(store, block.name), signal);
  },
};

/** Client of the block transfer API. */
export type BlockTransferClient = typeof httpBlockTransferClient;
