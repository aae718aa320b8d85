import { sleep } from '@goldcrestscale/core';
import {
  hashBody,
  PLAIN_PATH,
  PROMPT_PATH,
  StandInConnection,
  UNSAFE_PATH,
} from '@goldcrestscale/adapter/standin/index.js';
import type { ConnectionRequest, StandInPrompt } from '@goldcrestscale/adapter/standin/index.js';
import type { RequestKind, RequestRecord } from './history.js';
import { HOST, MODEL } from './soakPlatform.js';

/** VM to which callers connect. */
export interface CalledVm {
  readonly vmId: string;
  readonly address: string;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly name: string;
  readonly vms: readonly CalledVm[];
  readonly pickInt: (min: number, max: number) => number;
}

const TIMEOUT_MS = 6_000;

/** A caller gives up this long after the end of its time. */
const PATIENCE_MS = 2_500;

const CONNECT_TIMEOUT_MS = 1_000;

/** One of a crowd waits longer: the VM may stand still. */
const CROWD_CONNECT_TIMEOUT_MS = 5_000;

const RECONNECT_DELAY_MS = 100;

const BIG_BODY_BYTES = 72_000;

const BODY_PIECE_BYTES = 8_000;

const PATHS: Readonly<Record<RequestKind, string>> = {
  safe: PLAIN_PATH,
  unsafe: UNSAFE_PATH,
  stream: PROMPT_PATH,
};

/** A caller: keeps its connection until the VM closes it, and sends one request after another. */
export class SoakCaller {
  readonly requests: RequestRecord[] = [];

  readonly strays: string[] = [];

  private isStopped = false;

  private connection: StandInConnection | undefined;

  constructor(private readonly options: CallerOptions) {}

  async run(): Promise<void> {
    while (!this.isStopped) {
      const vm = this.options.vms[this.options.pickInt(0, this.options.vms.length - 1)]!;
      try {
        const connection = await StandInConnection.open(vm.address, CONNECT_TIMEOUT_MS);
        this.connection = connection;
        while (connection.isOpen && !this.isStopped) await this.sendNext(connection, vm.vmId);
        connection.leave();
        this.strays.push(...connection.strays.map((text) => `${vm.vmId}: ${text}`));
      } catch {
        // The VM is away; the next attempt goes to another one.
        await sleep(RECONNECT_DELAY_MS);
      }
    }
  }

  /** Sends one request on a connection of its own. */
  async callOnce(): Promise<void> {
    const [vm] = this.options.vms;
    if (!vm || this.isStopped) return;
    try {
      const connection = await StandInConnection.open(vm.address, CROWD_CONNECT_TIMEOUT_MS);
      this.connection = connection;
      const { ended } = await this.sendRequest(connection, vm.vmId, false);
      await ended;
      connection.leave();
      this.strays.push(...connection.strays.map((text) => `${vm.vmId}: ${text}`));
    } catch {
      // The VM is away, or had no room for the connection.
    }
  }

  stop(): void {
    this.isStopped = true;
    this.connection?.leave();
  }

  private async sendNext(connection: StandInConnection, vmId: string): Promise<void> {
    const { pickInt } = this.options;
    const isPipelined = pickInt(1, 10) === 1;
    const length = isPipelined ? pickInt(2, 3) : 1;
    const sent: Promise<void>[] = [];
    for (let index = 0; index < length && connection.isOpen; index += 1) {
      const request = await this.sendRequest(connection, vmId, isPipelined);
      sent.push(request.ended);
    }
    if (pickInt(1, 12) === 1) await this.readSlowly(connection);
    if (pickInt(1, 30) === 1) {
      await sleep(pickInt(5, 300));
      connection.leave(pickInt(1, 2) === 1);
    }
    await Promise.all(sent);
    await sleep(pickInt(20, 350));
  }

  private async readSlowly(connection: StandInConnection): Promise<void> {
    connection.pause();
    await sleep(this.options.pickInt(100, 1_500));
    connection.resume();
    // Later ones of this caller begin after this one has ended.
    this.requests.forEach((request) => {
      if (request.end === undefined) Object.assign(request, { readAgainAtMs: performance.now() });
    });
  }

  private drawKind(isPipelined: boolean): RequestKind {
    const choice = this.options.pickInt(1, 10);
    if (choice <= 3) return 'safe';
    return choice <= 6 || isPipelined ? 'unsafe' : 'stream';
  }

  private createPrompt(events: number): StandInPrompt {
    const { pickInt } = this.options;
    return {
      model: MODEL,
      outputTokens: events,
      parts: [
        { id: pickInt(1, 8).toString(16), tokens: pickInt(100, 800) },
        { id: pickInt(0x1000, 0x1fff).toString(16), tokens: pickInt(100, 4_000) },
      ],
    };
  }

  private createRequest(kind: RequestKind): ConnectionRequest & { events: number } {
    const { pickInt, name } = this.options;
    const requestId = `${name}-${this.requests.length}`;
    const events = kind === 'stream' ? pickInt(3, 60) : 0;
    const isBig = kind !== 'safe' && pickInt(1, 8) === 1;
    const bytes = isBig ? BIG_BODY_BYTES : pickInt(200, 3_000);
    return {
      requestId,
      method: kind === 'safe' ? 'GET' : 'POST',
      path: `${PATHS[kind]}${this.requests.length}`,
      host: HOST,
      body: kind === 'safe' ? '' : requestId.padEnd(bytes, '-'),
      isChunked: kind !== 'safe' && pickInt(1, 4) === 1,
      timeoutMs: TIMEOUT_MS,
      events,
      prompt: kind === 'stream' ? this.createPrompt(events) : undefined,
    };
  }

  /** Writes a request; `ended` resolves when it has its answer or its connection has ended. */
  private async sendRequest(
    connection: StandInConnection,
    vmId: string,
    isPipelined: boolean,
  ): Promise<{ readonly ended: Promise<void> }> {
    const kind = this.drawKind(isPipelined);
    const request = this.createRequest(kind);
    const record: RequestRecord = {
      id: request.requestId,
      kind,
      vmId,
      path: request.path,
      bodyHash: hashBody(request.body),
      timeoutMs: TIMEOUT_MS,
      events: request.events,
      sentAtMs: performance.now(),
      wholeAtMs: undefined,
      readAgainAtMs: 0,
      end: undefined,
      endedAtMs: undefined,
    };
    this.requests.push(record);
    const patience = setTimeout(() => connection.leave(), TIMEOUT_MS + PATIENCE_MS);
    const ended = connection.begin(request).then((end) => {
      clearTimeout(patience);
      Object.assign(record, { end, endedAtMs: performance.now() });
    });
    for (let start = 0; start < request.body.length && connection.isOpen;) {
      if (start > 0) await sleep(this.options.pickInt(2, 25));
      connection.write(request.body.slice(start, start + BODY_PIECE_BYTES), request);
      start += BODY_PIECE_BYTES;
    }
    connection.finish(request);
    if (connection.isOpen) record.wholeAtMs = performance.now();
    return { ended };
  }
}
