import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import type { BootId, VmId } from '@goldcrestscale/core';
import { EventLoopBarrier, bindAddress } from '@goldcrestscale/runtime';
import type { PeerIdentity } from './authentication.js';
import {
  CONNECTION_IDLE_TIMEOUT_MS,
  MAX_HANDSHAKE_BYTES,
  MESSAGE_LIMITS,
  MAX_PENDING_HANDSHAKES,
  MIN_MESH_SECRET_BYTES,
  DEFAULT_REQUEST_TIMEOUT_MS,
} from './constants.js';
import { acceptHandshake, startHandshake } from './handshake.js';
import type { HandshakeFailure } from './handshake.js';
import { MeshError } from './meshError.js';
import { createMeshStats } from './meshStats.js';
import type { MeshStats } from './meshStats.js';
import { PeerConnector } from './peerConnector.js';
import { PeerTransport } from './peerTransport.js';
import type { PeerAddress } from './peerTransport.js';
import { Session } from './session.js';
import { SessionTable } from './sessionTable.js';
import { trackBytes } from './trackBytes.js';
import { createUpgradeServer } from './createUpgradeServer.js';

/** Logger of the mesh. */
export interface MeshLogger {
  readonly info: (message: string) => void;
  readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
}

/** Options of the mesh. */
export interface MeshOptions {
  readonly vmId: VmId;
  readonly bootId: BootId;
  /** Address to listen on; port 0 picks a free port. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Secret shared by all entry VMs. */
  readonly secret: Buffer;
  readonly logger?: MeshLogger;
  /** Closes the mesh when aborted. */
  readonly signal: AbortSignal;
  /** Ends the wait for an address that is in use. @default signal */
  readonly stopSignal?: AbortSignal;
  /** Source of jitter, uniformly distributed in [0, 1). @default Math.random */
  readonly random?: () => number;
}

const silentLogger: MeshLogger = { info: () => undefined, warn: () => undefined };

/** Peer transport over authenticated WebSocket connections. */
export class Mesh extends PeerTransport {
  override readonly self: PeerIdentity;

  readonly stats: MeshStats = createMeshStats();

  private readonly logger: MeshLogger;

  private readonly sessions = new SessionTable();

  private readonly connectors = new Map<VmId, PeerConnector>();

  /** Inbound connections with an incomplete handshake, the oldest first. */
  private readonly pendingHandshakes = new Set<WebSocket>();

  constructor(
    private readonly options: MeshOptions,
    private readonly server: WebSocketServer,
  ) {
    super();
    this.self = { vmId: options.vmId, bootId: options.bootId };
    this.logger = options.logger ?? silentLogger;
    server.on('connection', (socket, request) => this.acceptConnection(socket, request.socket));
    const inputBarrier = new EventLoopBarrier();
    const idleTimer = setInterval(() => {
      // After a pause of the process, messages may be there and not have been read yet.
      void inputBarrier.run(() => this.closeIdleSessions());
    }, CONNECTION_IDLE_TIMEOUT_MS);
    idleTimer.unref();
    const close = (): void => {
      clearInterval(idleTimer);
      this.close();
    };
    if (options.signal.aborted) close();
    else options.signal.addEventListener('abort', close, { once: true });
  }

  /** Port on which the mesh listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  override async request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const startedAtMs = performance.now();
    const session = this.sessions.get(vmId) ?? (await this.openSession(vmId, signal, timeoutMs));
    const remainingMs = Math.max(0, timeoutMs - (performance.now() - startedAtMs));
    return session.request(type, payload, signal, remainingMs);
  }

  override send(vmId: VmId, type: string, payload: unknown): boolean {
    const session = this.sessions.get(vmId);
    if (session) return session.send(type, payload);
    // Connects in the background; this message is dropped, later ones can be sent.
    this.connectors
      .get(vmId)
      ?.connect()
      .catch(() => undefined);
    return false;
  }

  override setPeers(peers: readonly PeerAddress[]): void {
    const peersByVmId = new Map(peers.map((peer) => [peer.vmId, peer]));
    peersByVmId.delete(this.self.vmId);
    this.connectors.forEach((connector, vmId) => {
      if (peersByVmId.get(vmId)?.address === connector.peer.address) return;
      connector.close();
      this.connectors.delete(vmId);
    });
    this.sessions
      .listSessions()
      .filter((session) => !peersByVmId.has(session.peer.vmId))
      .forEach((session) => session.close());
    peersByVmId.forEach((peer) => this.ensureConnector(peer));
  }

  override listConnectedPeers(): readonly PeerIdentity[] {
    return this.sessions.listPeers();
  }

  private ensureConnector(peer: PeerAddress): void {
    const existing = this.connectors.get(peer.vmId);
    const connector =
      existing ??
      new PeerConnector(peer, {
        authenticate: (socket, vmId) => this.runDialerHandshake(socket, vmId),
        random: this.options.random ?? Math.random,
      });
    connector.peer = peer;
    this.connectors.set(peer.vmId, connector);
    if (peer.keepOpen && !this.sessions.get(peer.vmId)) {
      connector.connect().catch(() => undefined);
    }
  }

  private async openSession(vmId: VmId, signal: AbortSignal, timeoutMs: number): Promise<Session> {
    const connectAttempt = this.connectors.get(vmId)?.connect() ?? Promise.resolve(false);
    const settled = new AbortController();
    const timeoutOrAbort = new Promise<false>((resolve) => {
      const timer = setTimeout(() => resolve(false), timeoutMs);
      settled.signal.addEventListener('abort', () => clearTimeout(timer));
      signal.addEventListener('abort', () => resolve(false), { signal: settled.signal });
    });
    await Promise.race([connectAttempt, timeoutOrAbort]);
    settled.abort();
    const session = this.sessions.get(vmId);
    if (!session) throw new MeshError(`no connection to ${vmId}`, 'unreachable');
    return session;
  }

  private runDialerHandshake(socket: WebSocket, vmId: VmId): Promise<boolean> {
    return new Promise((resolve) => {
      startHandshake(socket, vmId, {
        self: this.self,
        secret: this.options.secret,
        onAuthenticated: (peer) => {
          this.addSession(socket, peer);
          resolve(true);
        },
        onFailed: (failure) => {
          this.recordHandshakeFailure(failure, vmId);
          resolve(false);
        },
      });
    });
  }

  private acceptConnection(socket: WebSocket, transport: Socket): void {
    socket.on('error', () => undefined);
    this.pendingHandshakes.add(socket);
    if (this.pendingHandshakes.size > MAX_PENDING_HANDSHAKES) {
      const [oldest] = this.pendingHandshakes;
      this.pendingHandshakes.delete(oldest!);
      oldest!.terminate();
    }
    const tracking = trackBytes(transport, MAX_HANDSHAKE_BYTES, () => {
      this.recordHandshakeFailure('malformed', 'an inbound peer');
      socket.terminate();
    });
    acceptHandshake(socket, {
      self: this.self,
      secret: this.options.secret,
      onAuthenticated: (peer) => {
        this.pendingHandshakes.delete(socket);
        tracking.stop();
        this.addSession(socket, peer);
      },
      onFailed: (failure) => {
        this.pendingHandshakes.delete(socket);
        tracking.stop();
        this.recordHandshakeFailure(failure, 'an inbound peer');
      },
    });
  }

  private recordHandshakeFailure(failure: HandshakeFailure, peer: string): void {
    if (failure === 'closed' || failure === 'timeout') return;
    this.stats.authenticationFailures += 1;
    this.logger.warn(`handshake with ${peer} failed: ${failure}`);
  }

  private addSession(socket: WebSocket, peer: PeerIdentity): void {
    const session: Session = new Session(socket, {
      peer,
      stats: this.stats,
      handle: (type, payload, context) => this.handle(type, payload, context),
      onClosed: () => this.removeSession(session),
    });
    this.stats.connectionsOpened += 1;
    this.sessions.add(session);
    this.logger.info(`connected to ${peer.vmId}`);
  }

  private removeSession(session: Session): void {
    const wasLast = this.sessions.remove(session);
    this.stats.connectionsLost += 1;
    if (wasLast) this.connectors.get(session.peer.vmId)?.scheduleReconnect();
  }

  private closeIdleSessions(): void {
    const idleBeforeMs = performance.now() - CONNECTION_IDLE_TIMEOUT_MS;
    this.sessions
      .listSessions()
      .filter((session) => session.lastUsedAtMs < idleBeforeMs)
      .filter((session) => !this.connectors.get(session.peer.vmId)?.peer.keepOpen)
      .forEach((session) => session.close());
  }

  private close(): void {
    this.connectors.forEach((connector) => connector.close());
    this.connectors.clear();
    this.sessions.listSessions().forEach((session) => session.close());
    this.server.clients.forEach((socket) => socket.terminate());
    this.server.close();
  }
}

/** Creates the mesh; resolves once it is listening. */
export const createMesh = async (options: MeshOptions): Promise<Mesh> => {
  if (options.secret.length < MIN_MESH_SECRET_BYTES) {
    throw new Error(
      `mesh secret has ${options.secret.length} bytes; at least ${MIN_MESH_SECRET_BYTES} required`,
    );
  }
  const { logger = silentLogger, stopSignal = options.signal } = options;
  let server: WebSocketServer | undefined;
  await bindAddress(options.listen, { logger, signal: stopSignal }, async () => {
    const httpServer = createUpgradeServer();
    const candidate = new WebSocketServer({ ...MESSAGE_LIMITS, server: httpServer });
    httpServer.listen(options.listen.port, options.listen.host);
    await once(candidate, 'listening');
    server = candidate;
    candidate.once('close', () => {
      httpServer.close();
      httpServer.closeAllConnections();
    });
  });
  if (!server) throw new MeshError('stopped before the mesh listened', 'aborted');
  server.on('error', (error) => {
    logger.warn('mesh listener failed', { error: String(error) });
  });
  return new Mesh(options, server);
};
