import { createHash, randomUUID } from 'node:crypto';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, RouteRequest, StandInRole } from '../http/index.js';
import { BlockTable } from './blockTable.js';
import type { StoredBlock } from './blockTable.js';
import { BandwidthLimiter } from './bandwidthLimiter.js';
import type { StoreSettings } from './storeSettings.js';

const defaultFaults = {
  full: false,
  dead: false,
  linkBytesPerSecond: 0,
  partialWrites: 0,
  restart: false,
  oldManifest: false,
};

/** Faults of a store VM. */
export type StoreFaults = typeof defaultFaults;

const computeChecksum = (content: Buffer): string =>
  createHash('sha256').update(content).digest('hex');

/**
 * Stand-in for a store VM: keeps KV cache blocks in memory and on disk, behind a bandwidth limit.
 */
export class StoreRole implements StandInRole {
  readonly faults: FaultSet<StoreFaults>;

  readonly routes: readonly Route[] = [
    { method: 'PUT', path: '/blocks/:name', handle: (request) => this.put(request) },
    { method: 'GET', path: '/blocks/:name', handle: (request) => this.send(request) },
    { method: 'DELETE', path: '/blocks/:name', handle: (request) => this.delete(request) },
    { method: 'POST', path: '/blocks/:name/commit', handle: (request) => this.commit(request) },
    {
      method: 'POST',
      path: '/blocks/:name/tombstone',
      handle: (request) => this.markFreed(request),
    },
    { method: 'GET', path: '/manifest', handle: () => this.listManifest() },
    { method: 'GET', path: '/counts', handle: () => this.reportCounts() },
  ];

  private incarnation: string = randomUUID();

  private readonly table: BlockTable;

  private readonly link: BandwidthLimiter;

  private readonly disk: BandwidthLimiter;

  private readonly counts = { puts: 0, gets: 0, commits: 0 };

  constructor(private readonly settings: StoreSettings) {
    const { linkBytesPerSecond } = settings;
    this.faults = new FaultSet({ ...defaultFaults, linkBytesPerSecond }, (faults) =>
      this.applyFaults(faults),
    );
    this.table = new BlockTable(settings);
    this.link = new BandwidthLimiter(() => this.faults.current.linkBytesPerSecond);
    this.disk = new BandwidthLimiter(() => settings.diskBytesPerSecond);
  }

  intercept(): Promise<'drop' | undefined> {
    return Promise.resolve(this.faults.current.dead ? 'drop' : undefined);
  }

  private applyFaults(faults: StoreFaults): void {
    if (!faults.restart && !faults.oldManifest) return;
    this.faults.set('restart', false);
    this.faults.set('oldManifest', false);
    this.incarnation = randomUUID();
    if (faults.oldManifest) this.table.restoreOldestSnapshot();
    else this.table.dropMemory();
  }

  private findBlock(request: RouteRequest): StoredBlock | undefined {
    return this.table.get(request.params.name ?? '');
  }

  private async put(request: RouteRequest): Promise<Reply> {
    const { body } = request;
    if (this.faults.current.full) return buildErrorReply(507, 'full');
    await this.link.transfer(body.length, request.signal);
    const isPartial = this.faults.consume('partialWrites');
    const storedBytes = isPartial ? body.subarray(0, Math.floor(body.length / 2)) : body;
    if (!this.table.put(request.params.name ?? '', Buffer.from(storedBytes))) {
      return buildErrorReply(507, 'full');
    }
    this.counts.puts += 1;
    const { incarnation } = this;
    return {
      status: 200,
      body: { length: body.length, checksum: computeChecksum(body), incarnation },
    };
  }

  private commit(request: RouteRequest): Reply {
    const block = this.findBlock(request);
    if (!block) return buildErrorReply(404, 'not_found');
    const { length, checksum, generation } = request.readJson();
    const isUnchanged = block.content.length === length && block.checksum === checksum;
    if (!isUnchanged || block.state === 'freed') return buildErrorReply(409, 'differs');
    this.table.update(block.name, { state: 'committed', generation: Number(generation) });
    this.counts.commits += 1;
    return { status: 200, body: { incarnation: this.incarnation } };
  }

  private async send(request: RouteRequest): Promise<Reply | undefined> {
    const block = this.findBlock(request);
    if (!block) return buildErrorReply(404, 'not_found');
    this.counts.gets += 1;
    const { response, signal } = request;
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': block.content.length,
      'x-length': String(block.content.length),
      'x-checksum': block.checksum,
      'x-generation': String(block.generation),
      'x-incarnation': this.incarnation,
      'x-state': block.state,
    });
    if (block.tier === 'disk') await this.disk.transfer(block.content.length, signal);
    await this.link.transfer(block.content.length, signal, (start, end) => {
      response.write(Buffer.from(block.content.subarray(start, end)));
    });
    response.end();
    return undefined;
  }

  private markFreed(request: RouteRequest): Reply {
    const block = this.findBlock(request);
    if (!block) return buildErrorReply(404, 'not_found');
    this.table.update(block.name, { state: 'freed' });
    return { status: 200, body: { incarnation: this.incarnation } };
  }

  private delete(request: RouteRequest): Reply {
    return this.table.delete(request.params.name ?? '')
      ? { status: 200, body: { incarnation: this.incarnation } }
      : buildErrorReply(404, 'not_found');
  }

  private listManifest(): Reply {
    const { memoryBytes, diskBytes } = this.settings;
    const blocks = this.table.list().map(({ content, ...metadata }) => ({
      ...metadata,
      length: content.length,
    }));
    return {
      status: 200,
      body: {
        incarnation: this.incarnation,
        memory: { usedBytes: this.table.computeUsedBytes('memory'), capacityBytes: memoryBytes },
        disk: { usedBytes: this.table.computeUsedBytes('disk'), capacityBytes: diskBytes },
        linkBytesPerSecond: this.faults.current.linkBytesPerSecond,
        activeTransfers: this.link.activeTransfers,
        blocks,
      },
    };
  }

  private reportCounts(): Reply {
    return {
      status: 200,
      body: { ...this.counts, transferredBytes: this.link.transferredBytes },
    };
  }
}
