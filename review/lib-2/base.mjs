// What all stand-ins share: CBOR over HTTP, free ports, time, and the record of a run.
import http from 'node:http';
import net from 'node:net';
import { writeFileSync } from 'node:fs';
import { decode, encode } from 'cborg';

export { decode, encode };
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAt = performance.now();
/** Seconds since the script began. */
export const now = () => (performance.now() - startedAt) / 1000;

const agent = new http.Agent({ keepAlive: true, maxSockets: 4000, maxFreeSockets: 4000 });

/** One HTTP call. Rejects where there is no answer within the time. */
export function call(address, method, path, value, timeoutMs = 5000) {
  const [host, port] = address.split(':');
  const body = value === undefined ? undefined : Buffer.from(encode(value));
  return new Promise((resolve, reject) => {
    const headers = body
      ? { 'content-type': 'application/cbor', 'content-length': body.length }
      : method === 'POST'
        ? { 'content-length': 0 }
        : {};
    const request = http.request({ agent, host, port, method, path, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', fail);
      response.on('end', () => {
        clearTimeout(timer);
        const bytes = Buffer.concat(chunks);
        let decoded;
        try {
          decoded = bytes.length > 0 ? decode(bytes) : undefined;
        } catch {
          decoded = undefined;
        }
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: decoded,
          size: bytes.length,
        });
      });
    });
    const fail = (error) => {
      clearTimeout(timer);
      reject(error);
    };
    const timer = setTimeout(() => {
      request.destroy();
      reject(new Error('no answer in time'));
    }, timeoutMs);
    request.on('error', fail);
    request.end(body);
  });
}

/** Serves `handle(method, path, query, body) -> { status, body }`; undefined closes the connection without an answer. */
export function serve(handle, port = 0, host = '127.0.0.1') {
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', async () => {
      const bytes = Buffer.concat(chunks);
      const [path, query = ''] = request.url.split('?');
      let reply;
      try {
        const value = bytes.length > 0 ? decode(bytes) : undefined;
        reply = await handle(request.method, path, new URLSearchParams(query), value, bytes.length);
      } catch (error) {
        reply = { status: 400, body: { error: String(error) } };
      }
      if (!reply) return request.socket.destroy();
      const out = reply.body === undefined ? Buffer.alloc(0) : Buffer.from(encode(reply.body));
      response.writeHead(reply.status, { 'content-type': 'application/cbor', 'content-length': out.length });
      response.end(out);
      return undefined;
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, 4096, () => resolve({ address: `${host}:${server.address().port}`, server }));
  });
}

/** Whether the port can be listened on. */
const isFree = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Free ports below those that the system gives to outgoing connections, which could take one before its process listens. */
export async function freePorts(count) {
  const ports = [];
  let port = 18_000 + Math.floor(Math.random() * 10_000);
  for (; ports.length < count; port++) if (await isFree(port)) ports.push(port);
  return ports;
}

/** The record of a run: one line an event. */
export class Recorder {
  lines = [];
  note(text) {
    this.lines.push(`${now().toFixed(3).padStart(8)} ${text}`);
  }
  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}
