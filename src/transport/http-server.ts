/**
 * HTTP server: routes, size limits and error answers.
 *
 * Owns the listening socket. It knows no path of its own and never looks into a body.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { ServerOptions as TlsOptions, Server as TlsServer } from 'node:https';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { splitAddress } from './address.js';
import type { RequestGuard, Reply, RequestHead, Route } from './http.js';

export interface ServerOptions {
  readonly maxBody: number;
  readonly contentType: string;
  /** Body of an error answer that is given by the server and not by a route. */
  readonly errorBody: (message: string) => Uint8Array;
  readonly maxConnections: number;
  /** Called before every route. */
  readonly guard?: RequestGuard | undefined;
  /** Makes the server use TLS. */
  readonly secure?:
    | {
        readonly createServer: (options: TlsOptions, listener?: unknown) => TlsServer;
        readonly options: TlsOptions;
      }
    | undefined;
}

const NO_BODY = new Uint8Array();
/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 1024;
/** How long an idle connection stays open. */
const KEEP_ALIVE_MS = 75_000;

/**
 * Reads the body directly from Node's request; undefined when it is over the limit. At hundreds of heartbeats per second,
 * the web-standard request and response objects with their streams would cost more than all other work.
 */
function readBody(incoming: IncomingMessage, maxBody: number): Promise<Uint8Array | undefined> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > maxBody) return Promise.resolve(undefined);
  return new Promise((resolve, reject) => {
    let first: Buffer | undefined;
    let more: Buffer[] | undefined;
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBody) resolve(undefined);
      else if (first === undefined) first = chunk;
      else (more ??= [first]).push(chunk);
    });
    incoming.on('end', () => resolve(more ? Buffer.concat(more) : (first ?? NO_BODY)));
    // `close` is emitted for every request; only if the request is incomplete has the client disconnected.
    incoming.on('close', () => {
      if (!incoming.complete) reject(new Error('client disconnected before its request was complete'));
    });
    incoming.on('error', reject);
  });
}

export function buildApp(routes: readonly Route[], options: ServerOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  const { contentType, errorBody } = options;
  const headersOf = (reply: Reply, length: number): OutgoingHttpHeaders =>
    reply.headers
      ? { ...(length > 0 ? { 'content-type': contentType } : {}), 'content-length': length, ...reply.headers }
      : length > 0
        ? { 'content-type': contentType, 'content-length': length }
        : { 'content-length': 0 };
  const send = (outgoing: ServerResponse, reply: Reply): Response => {
    const body = reply.body ?? NO_BODY;
    if (!outgoing.headersSent && !outgoing.destroyed) {
      outgoing.writeHead(reply.status, headersOf(reply, body.length));
      // Passed as a latin1 string, the body goes out with the head in a single write by Node.
      outgoing.end(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'), 'latin1');
    }
    return RESPONSE_ALREADY_SENT;
  };
  const refuse = (
    outgoing: ServerResponse,
    status: number,
    message: string,
    headers: Record<string, string> = {},
  ): Response => send(outgoing, { status, body: errorBody(message), headers });
  for (const route of routes) {
    app.on(route.method, route.path, async (c) => {
      const { incoming, outgoing } = c.env;
      const body = route.method === 'POST' ? await readBody(incoming, options.maxBody) : NO_BODY;
      if (body === undefined) {
        // The rest of the body is not read, so the connection is closed after the answer.
        return refuse(outgoing, 413, `body over ${options.maxBody} bytes`, {
          connection: 'close',
        });
      }
      const head = incoming as RequestHead;
      return send(outgoing, options.guard?.(head, body) ?? (await route.handle(c.req.param(), body, head)));
    });
  }
  const methods = new Map<string, string[]>();
  for (const route of routes) methods.set(route.path, [...(methods.get(route.path) ?? []), route.method]);
  for (const [path, allowed] of methods) {
    app.all(path, (c) =>
      refuse(c.env.outgoing, 405, `${c.req.method} is not allowed here`, {
        allow: allowed.join(', '),
      }),
    );
  }
  app.notFound((c) => refuse(c.env.outgoing, 404, 'no such path'));
  app.onError((_, c) => refuse(c.env.outgoing, 500, 'internal error'));
  return app;
}

export function serveHttp(
  bind: string,
  routes: readonly Route[],
  options: ServerOptions,
): Promise<{ readonly port: number; readonly server: unknown; close(): void }> {
  const app = buildApp(routes, options);
  const { host, port } = splitAddress(bind);
  const server = createAdaptorServer({
    fetch: app.fetch,
    overrideGlobalObjects: false,
    ...(options.secure
      ? { createServer: options.secure.createServer as never, serverOptions: options.secure.options as never }
      : {}),
  });
  // The limit reserves sockets for the store, the machine provider and the mesh.
  server.maxConnections = options.maxConnections;
  if ('keepAliveTimeout' in server) server.keepAliveTimeout = KEEP_ALIVE_MS;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, LISTEN_BACKLOG, () => {
      const listenAddress = server.address();
      resolve({
        port: typeof listenAddress === 'object' && listenAddress ? listenAddress.port : 0,
        server,
        close: () => {
          server.close();
          if ('closeAllConnections' in server) server.closeAllConnections();
        },
      });
    });
  });
}
