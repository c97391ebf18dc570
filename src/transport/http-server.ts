import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Reply, Route } from './http.js';

const toResponse = (reply: Reply, contentType: string): Response =>
  new Response(reply.body ? (reply.body as Uint8Array<ArrayBuffer>) : null, {
    status: reply.status,
    headers: { ...(reply.body ? { 'content-type': contentType } : {}), ...reply.headers },
  });

export interface ServerOptions {
  readonly maxBody: number;
  readonly contentType: string;
  /** The body of an error answer that no route gave. */
  readonly errorBody: (message: string) => Uint8Array;
  readonly maxConnections: number;
}

export function buildApp(routes: readonly Route[], options: ServerOptions): Hono {
  const app = new Hono();
  const { contentType, errorBody } = options;
  const refuse = (status: number, message: string, headers: Record<string, string> = {}): Response =>
    toResponse({ status, body: errorBody(message), headers }, contentType);
  app.use(
    bodyLimit({ maxSize: options.maxBody, onError: () => refuse(413, `body over ${options.maxBody} bytes`) }),
  );
  for (const route of routes) {
    app.on(route.method, route.path, async (c) => {
      const body = route.method === 'POST' ? new Uint8Array(await c.req.arrayBuffer()) : new Uint8Array();
      return toResponse(await route.handle(c.req.param() as Record<string, string>, body), contentType);
    });
  }
  const methods = new Map<string, string[]>();
  for (const r of routes) methods.set(r.path, [...(methods.get(r.path) ?? []), r.method]);
  for (const [path, allowed] of methods) {
    app.all(path, (c) => refuse(405, `${c.req.method} is not allowed here`, { allow: allowed.join(', ') }));
  }
  app.notFound(() => refuse(404, 'no such path'));
  app.onError(() => refuse(500, 'internal error'));
  return app;
}

export function serveHttp(
  bind: string,
  routes: readonly Route[],
  options: ServerOptions,
): Promise<{ readonly port: number; close(): void }> {
  const app = buildApp(routes, options);
  const colon = bind.lastIndexOf(':');
  const server = createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false });
  // Sockets are kept back for the state service, the cloud and the mesh.
  server.maxConnections = options.maxConnections;
  if ('keepAliveTimeout' in server) server.keepAliveTimeout = 75_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(bind.slice(colon + 1)), bind.slice(0, colon), 1024, () => {
      const at = server.address();
      resolve({ port: typeof at === 'object' && at ? at.port : 0, close: () => void server.close() });
    });
  });
}
