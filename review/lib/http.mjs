import { Agent, createServer, request } from 'node:http';
import { decode, encode } from 'cborg';

/** Bigints above 2^53 stay bigints; all other integers are numbers. */
const parse = (bytes) => (bytes.length === 0 ? undefined : decode(bytes));

/** Serves `handle(method, path, query, data, from)`, which returns `{ status, data, headers }`, on a free port. */
export function serve(handle, host = '127.0.0.1') {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', async () => {
      const url = new URL(req.url, 'http://localhost');
      let reply;
      try {
        const data = parse(Buffer.concat(chunks));
        reply = await handle(req.method, decodeURIComponent(url.pathname), url.searchParams, data, req);
      } catch (error) {
        reply = { status: 400, data: { error: String(error) } };
      }
      // No answer at all: the connection stays open until the caller gives up.
      if (reply === undefined || res.destroyed) return;
      const body = reply.data === undefined ? Buffer.alloc(0) : Buffer.from(encode(reply.data));
      res.writeHead(reply.status, {
        'content-type': 'application/cbor',
        'content-length': body.length,
        ...reply.headers,
      });
      res.end(body);
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, 1024, () =>
      resolve({
        address: `${host}:${server.address().port}`,
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      }),
    );
  });
}

/** One caller's connections. */
export class Client {
  constructor() {
    this.agent = new Agent({ keepAlive: true, maxSockets: 8, timeout: 20_000 });
  }

  /** Returns `{ status, data, headers }`, or undefined where there was no answer in time. */
  call(address, method, path, data, timeoutMs) {
    const [host, port] = address.split(':');
    const body = data === undefined ? undefined : Buffer.from(encode(data));
    return new Promise((resolve) => {
      const outgoing = request({
        agent: this.agent,
        host,
        port: Number(port),
        method,
        path,
        headers: body ? { 'content-type': 'application/cbor', 'content-length': body.length } : {},
      });
      const timer = setTimeout(() => {
        resolve(undefined);
        outgoing.destroy();
      }, timeoutMs);
      const finish = (reply) => {
        clearTimeout(timer);
        resolve(reply);
      };
      outgoing.on('error', () => finish(undefined));
      outgoing.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish(undefined));
        response.on('end', () => {
          try {
            finish({
              status: response.statusCode,
              data: parse(Buffer.concat(chunks)),
              headers: response.headers,
            });
          } catch {
            finish({ status: response.statusCode, data: undefined, headers: response.headers });
          }
        });
      });
      outgoing.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
