/**
 * Connections between controllers: one TCP connection per direction.
 *
 * Owns the sockets and their replacement. Frames are sent at most once and may be lost; it neither acknowledges nor
 * repeats any.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { splitAddress } from './address.js';
import type { Clock, SteadyMs } from './clock.js';
import { encodeFrame, splitFrames, type Frame, type FrameGuard } from './frame-codec.js';

export { FrameKind, type Frame, type FrameGuard } from './frame-codec.js';

/** A connection with unsent bytes for longer than this is replaced. */
const BLOCKED_LINK_MS = 1500;

export interface Mesh {
  send(peer: string, frame: Frame): void;
  onFrame(listen: (frame: Frame) => void): void;
  /** Called when a peer's address refuses connections; this is a hint that the peer is down, not a proof. */
  onRefused(listen: (peer: string) => void): void;
  close?(): void;
}

/** An outbound connection, and the last time at which all bytes written to it had left this process. */
interface Link {
  readonly socket: Socket;
  drainedAt: SteadyMs;
}

/** Listens on `bind` and connects to `peers`, a map of names to addresses. */
export function createTcpMesh(
  bind: string,
  peers: ReadonlyMap<string, string>,
  clock: Clock,
  guard?: FrameGuard,
): Mesh & { close(): void } {
  return new TcpMesh(bind, peers, clock, guard);
}

class TcpMesh implements Mesh {
  private readonly frameListeners: ((frame: Frame) => void)[] = [];
  private readonly refusedListeners: ((peer: string) => void)[] = [];
  private readonly links = new Map<string, Link>();
  private readonly inbound = new Set<Socket>();
  private readonly server: Server;

  constructor(
    bind: string,
    private readonly peers: ReadonlyMap<string, string>,
    private readonly clock: Clock,
    private readonly guard: FrameGuard | undefined,
  ) {
    const { host, port } = splitAddress(bind);
    this.server = createServer((socket) => this.receive(socket));
    this.server.on('error', ignore);
    this.server.listen(port, host);
  }

  onFrame(listen: (frame: Frame) => void): void {
    this.frameListeners.push(listen);
  }

  onRefused(listen: (peer: string) => void): void {
    this.refusedListeners.push(listen);
  }

  send(peer: string, frame: Frame): void {
    const address = this.peers.get(peer);
    if (address === undefined) return;
    const link = this.usableLink(peer) ?? this.openLink(peer, address);
    if (link.socket.writableLength === 0) link.drainedAt = this.clock.now();
    link.socket.write(encodeFrame(frame, this.guard));
  }

  close(): void {
    this.server.close();
    for (const { socket } of this.links.values()) socket.destroy();
    for (const socket of this.inbound) socket.destroy();
  }

  /** A connection whose unsent bytes pile up is cut or hangs; a new connection detects that sooner than TCP would. */
  private usableLink(peer: string): Link | undefined {
    const link = this.links.get(peer);
    if (!link) return undefined;
    const { socket } = link;
    const blocked = socket.writableLength > 0 && this.clock.now() - link.drainedAt > BLOCKED_LINK_MS;
    if (!socket.destroyed && !blocked) return link;
    socket.destroy();
    return undefined;
  }

  private openLink(peer: string, address: string): Link {
    const { host, port } = splitAddress(address);
    const socket = connect(port, host);
    socket.setNoDelay(true);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') for (const listen of this.refusedListeners) listen(peer);
    });
    socket.on('close', () => {
      if (this.links.get(peer)?.socket === socket) this.links.delete(peer);
    });
    const link: Link = { socket, drainedAt: this.clock.now() };
    this.links.set(peer, link);
    return link;
  }

  private receive(socket: Socket): void {
    this.inbound.add(socket);
    socket.on('close', () => this.inbound.delete(socket));
    socket.on('error', ignore);
    let remaining: Buffer = Buffer.alloc(0);
    socket.on('data', (chunk: Buffer) => {
      const stream = remaining.length === 0 ? chunk : Buffer.concat([remaining, chunk]);
      try {
        remaining = splitFrames(stream, this.guard, (frame) => this.deliver(frame));
      } catch {
        socket.destroy();
      }
    });
  }

  private deliver(frame: Frame): void {
    for (const listen of this.frameListeners) listen(frame);
  }
}

/** An unreachable peer is not an error: the socket closes, and the next frame opens another. */
const ignore = (): void => undefined;
