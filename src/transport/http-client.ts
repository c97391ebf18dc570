/**
 * HTTP client over keep-alive connections, with a deadline on every call.
 *
 * Owns the connections of one client. It repeats no call that may have been executed.
 */
import { Agent, request, type AgentOptions, type ClientRequest, type IncomingMessage } from 'node:http';
import { splitAddress } from './address.js';
import { err, ok, type Result } from './result.js';
import type { CallFailure, HttpClient, Reply, RequestSigner } from './http.js';

/** Longer than any answer may take, including the longest watch. */
const IDLE_MS = 15_000;
/**
 * Maximum number of idle connections per address. Connections to each of a thousand agents, and to those that no longer
 * exist, would use up this node's sockets, so a connection that was idle for a while is closed.
 */
const MAX_IDLE_SOCKETS = 16;
/** Reason of a failure: the call's deadline passed. The command line prints it. */
const DEADLINE_PASSED = 'deadline';

type AgentFactory = (options: AgentOptions) => Agent;

export interface HttpClientOptions {
  readonly sign?: RequestSigner | undefined;
  /** Creates an agent whose connections use TLS instead of plain TCP. */
  readonly agentOf?: AgentFactory | undefined;
}

/** Options of a process that acts for a single user: the command line sets them before it makes any call. */
let defaultOptions: HttpClientOptions = {};
export function setDefaultClientOptions(options: HttpClientOptions): void {
  defaultOptions = options;
}

interface Call {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array | undefined;
  readonly deadlineMs: number;
}

interface Attempt {
  readonly result: Result<Reply, CallFailure>;
  /** Whether the request went over a connection that an earlier call had opened. */
  readonly reusedSocket: boolean;
}

export function createHttpClient(
  maxSockets: number,
  contentType: string,
  idleMs = IDLE_MS,
  options: HttpClientOptions = {},
): HttpClient {
  return new KeepAliveHttpClient(maxSockets, contentType, idleMs, options);
}

class KeepAliveHttpClient implements HttpClient {
  private agent: Agent | undefined;

  constructor(
    private readonly maxSockets: number,
    private readonly contentType: string,
    private readonly idleMs: number,
    private options: HttpClientOptions,
  ) {}

  async call(
    address: string,
    method: string,
    path: string,
    body: Uint8Array | undefined,
    deadlineMs: number,
  ): Promise<Result<Reply, CallFailure>> {
    const call: Call = { address, method, path, body, deadlineMs };
    const { result, reusedSocket } = await this.attempt(call);
    // The server closed a keep-alive connection while it was idle; a read can safely be repeated at once.
    const closedWhileIdle = !result.ok && reusedSocket && result.error.why !== DEADLINE_PASSED;
    if (closedWhileIdle && method === 'GET') return (await this.attempt(call)).result;
    return result;
  }

  private attempt(call: Call): Promise<Attempt> {
    return new Promise((resolve) => {
      const agent = (this.agent ??= this.createAgent());
      const { host, port } = splitAddress(call.address);
      const outgoing = request({
        agent,
        ...(this.options.agentOf ? { protocol: 'https:' } : {}),
        host,
        port,
        method: call.method,
        path: call.path,
        headers: this.headersOf(call),
      });
      new PendingCall(outgoing, call.deadlineMs, resolve);
      sendBody(outgoing, call.body);
    });
  }

  /** Called only for the first call: the command line learns which user it acts for after its clients are created. */
  private createAgent(): Agent {
    this.options = { ...defaultOptions, ...this.options };
    const agentOptions: AgentOptions = {
      keepAlive: true,
      maxSockets: this.maxSockets,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: 'fifo',
      timeout: this.idleMs,
    };
    return this.options.agentOf?.(agentOptions) ?? new Agent(agentOptions);
  }

  private headersOf({ method, path, body }: Call): Record<string, string> {
    const headers: Record<string, string> = {
      connection: 'keep-alive',
      ...this.options.sign?.(method, path, body),
    };
    if (body) {
      headers['content-type'] = this.contentType;
      headers['content-length'] = String(body.length);
    }
    return headers;
  }
}

/** A request in progress: turns the events of its socket and answer into one result. */
class PendingCall {
  private connected = false;
  private finished = false;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly outgoing: ClientRequest,
    deadlineMs: number,
    private readonly resolve: (attempt: Attempt) => void,
  ) {
    this.timer = setTimeout(() => this.onDeadline(), deadlineMs);
    outgoing.on('socket', (socket) => {
      socket.setNoDelay(true);
      if (!socket.connecting) this.connected = true;
      else socket.once('connect', () => (this.connected = true));
    });
    outgoing.on('error', (error) => this.fail(error.message));
    outgoing.on('response', (response) => this.read(response));
  }

  /**
   * A stalled process runs its timers before it reads what arrived during the stall. The answer may already be in the socket, so
   * it is read before the call counts as unanswered: an unknown outcome can cost the leadership. A call that misses its deadline
   * loses its connection too, which would otherwise delay the calls queued behind it.
   */
  private onDeadline(): void {
    setImmediate(() => {
      if (this.finished) return;
      this.fail(DEADLINE_PASSED);
      this.outgoing.destroy();
    });
  }

  private read(response: IncomingMessage): void {
    const chunks: Uint8Array[] = [];
    response.on('data', (chunk: Uint8Array) => chunks.push(chunk));
    const retryAfter = response.headers['retry-after'];
    response.on('end', () =>
      this.finish(
        ok({
          status: response.statusCode ?? 0,
          body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
          ...(retryAfter === undefined ? {} : { headers: { 'retry-after': retryAfter } }),
        }),
      ),
    );
    response.on('error', (error) => this.fail(error.message));
    response.on('aborted', () => this.fail('aborted'));
  }

  private fail(why: string): void {
    const mayHaveBeenSent = this.connected || this.outgoing.reusedSocket;
    this.finish(err({ kind: mayHaveBeenSent ? 'unknown' : 'refused', why }));
  }

  /** Only the first result counts. */
  private finish(result: Result<Reply, CallFailure>): void {
    if (this.finished) return;
    this.finished = true;
    clearTimeout(this.timer);
    this.resolve({ result, reusedSocket: this.outgoing.reusedSocket });
  }
}

/** Passed as a latin1 string, the body goes out with the head in a single write by Node. */
function sendBody(outgoing: ClientRequest, body: Uint8Array | undefined): void {
  if (!body) outgoing.end();
  else outgoing.end(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'), 'latin1');
}
