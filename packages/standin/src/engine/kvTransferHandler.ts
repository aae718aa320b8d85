import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { buildErrorReply } from '../http/index.js';
import type { Reply, Route, RouteRequest } from '../http/index.js';
import { computeChecksum } from './blockContent.js';
import { STAGED_IMPORT_TTL_MS } from './constants.js';
import type { EngineState } from './engineState.js';
import { putBlock, readBlock } from './storeClient.js';

const transferSchema = z.object({
  blocks: z.array(z.object({ key: z.string(), name: z.string() })),
  storeUrl: z.string(),
});

const commitSchema = z.object({ keys: z.array(z.string()) });

interface StagedImport {
  readonly bootId: string;
  readonly contents: ReadonlyMap<string, Buffer>;
  readonly timer: NodeJS.Timeout;
}

/** Exports KV cache blocks to store VMs and imports them in two steps: stage, then commit. */
export class KvTransferHandler {
  readonly routes: readonly Route[] = [
    { method: 'POST', path: '/kv/export', handle: (request) => this.export(request) },
    { method: 'POST', path: '/kv/import', handle: (request) => this.import(request) },
    { method: 'POST', path: '/kv/import/:id/commit', handle: (request) => this.commit(request) },
    { method: 'DELETE', path: '/kv/import/:id', handle: (request) => this.discard(request) },
  ];

  private readonly stagedImports = new Map<string, StagedImport>();

  constructor(private readonly state: EngineState) {}

  private async export(request: RouteRequest): Promise<Reply> {
    const { blocks, storeUrl } = transferSchema.parse(request.readJson());
    const missing = blocks.filter((block) => !this.state.cache.get(block.key));
    if (missing.length > 0) {
      return { status: 404, body: { error: { code: 'not_held' }, missing } };
    }
    const exported: object[] = [];
    for (const { key, name } of blocks) {
      const content = this.state.cache.get(key);
      if (!content) return buildErrorReply(404, 'not_held');
      try {
        await putBlock(storeUrl, name, content);
      } catch (error) {
        return buildErrorReply(502, error instanceof Error ? error.message : 'store');
      }
      exported.push({ key, name, length: content.length, checksum: computeChecksum(content) });
    }
    return { status: 200, body: { blocks: exported } };
  }

  private async import(request: RouteRequest): Promise<Reply> {
    const { blocks, storeUrl } = transferSchema.parse(request.readJson());
    const { bootId } = this.state;
    try {
      const fetched = await Promise.all(blocks.map((block) => readBlock(storeUrl, block.name)));
      const contents = new Map(
        fetched.map(({ content }, index) => [blocks[index]?.key ?? '', content]),
      );
      const importId = this.addStagedImport(bootId, contents);
      const importedBlocks = fetched.map(({ content, ...metadata }, index) => ({
        key: blocks[index]?.key,
        ...metadata,
      }));
      return { status: 200, body: { importId, blocks: importedBlocks } };
    } catch (error) {
      return buildErrorReply(502, error instanceof Error ? error.message : 'store');
    }
  }

  private addStagedImport(bootId: string, contents: ReadonlyMap<string, Buffer>): string {
    const importId = randomUUID();
    const timer = setTimeout(() => this.stagedImports.delete(importId), STAGED_IMPORT_TTL_MS);
    timer.unref();
    this.stagedImports.set(importId, { bootId, contents, timer });
    return importId;
  }

  private takeStagedImport(request: RouteRequest): StagedImport | undefined {
    const importId = request.params.id ?? '';
    const stagedImport = this.stagedImports.get(importId);
    if (!stagedImport) return undefined;
    clearTimeout(stagedImport.timer);
    this.stagedImports.delete(importId);
    return stagedImport.bootId === this.state.bootId ? stagedImport : undefined;
  }

  private commit(request: RouteRequest): Reply {
    const { keys } = commitSchema.parse(request.readJson());
    const stagedImport = this.takeStagedImport(request);
    if (!stagedImport) return buildErrorReply(404, 'not_found');
    const committedKeys = keys.filter((key) => {
      const content = stagedImport.contents.get(key);
      if (content) this.state.cache.put(key, content);
      return content !== undefined;
    });
    return { status: 200, body: { keys: committedKeys } };
  }

  private discard(request: RouteRequest): Reply {
    return this.takeStagedImport(request)
      ? { status: 200, body: {} }
      : buildErrorReply(404, 'not_found');
  }
}
