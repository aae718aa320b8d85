import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { buildErrorReply } from '../http/index.js';
import type { Reply, Route, RouteRequest } from '../http/index.js';
import { computeChecksum } from './blockContent.js';
import { STAGE_LIFETIME_MS } from './constants.js';
import type { EngineState } from './engineState.js';
import { putBlock, readBlock } from './storeClient.js';

const transferSchema = z.object({
  blocks: z.array(z.object({ key: z.string(), name: z.string() })),
  storeUrl: z.string(),
});

const commitSchema = z.object({ keys: z.array(z.string()) });

interface Stage {
  readonly bootId: string;
  readonly contents: ReadonlyMap<string, Buffer>;
  readonly timer: NodeJS.Timeout;
}

/** Exports KV cache blocks to store VMs and imports them through a stage. */
export class KvHandler {
  readonly routes: readonly Route[] = [
    { method: 'POST', path: '/kv/export', handle: (request) => this.export(request) },
    { method: 'POST', path: '/kv/import', handle: (request) => this.import(request) },
    { method: 'POST', path: '/kv/import/:id/commit', handle: (request) => this.commit(request) },
    { method: 'DELETE', path: '/kv/import/:id', handle: (request) => this.discard(request) },
  ];

  private readonly stages = new Map<string, Stage>();

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
      const read = await Promise.all(blocks.map((block) => readBlock(storeUrl, block.name)));
      const contents = new Map(
        read.map(({ content }, index) => [blocks[index]?.key ?? '', content]),
      );
      const importId = this.save(bootId, contents);
      const facts = read.map(({ content, ...fact }, index) => ({
        key: blocks[index]?.key,
        ...fact,
      }));
      return { status: 200, body: { importId, blocks: facts } };
    } catch (error) {
      return buildErrorReply(502, error instanceof Error ? error.message : 'store');
    }
  }

  private save(bootId: string, contents: ReadonlyMap<string, Buffer>): string {
    const importId = randomUUID();
    const timer = setTimeout(() => this.stages.delete(importId), STAGE_LIFETIME_MS);
    timer.unref();
    this.stages.set(importId, { bootId, contents, timer });
    return importId;
  }

  private take(request: RouteRequest): Stage | undefined {
    const importId = request.params.id ?? '';
    const stage = this.stages.get(importId);
    if (!stage) return undefined;
    clearTimeout(stage.timer);
    this.stages.delete(importId);
    return stage.bootId === this.state.bootId ? stage : undefined;
  }

  private commit(request: RouteRequest): Reply {
    const { keys } = commitSchema.parse(request.readJson());
    const stage = this.take(request);
    if (!stage) return buildErrorReply(404, 'not_found');
    const stored = keys.filter((key) => {
      const content = stage.contents.get(key);
      if (content) this.state.cache.put(key, content);
      return content !== undefined;
    });
    return { status: 200, body: { keys: stored } };
  }

  private discard(request: RouteRequest): Reply {
    return this.take(request) ? { status: 200, body: {} } : buildErrorReply(404, 'not_found');
  }
}
