import { readFileSync, watch, type FSWatcher } from 'node:fs';
import { createServer, type Server, type ServerOptions as TlsOptions } from 'node:https';
import type { ServerOptions } from '../transport/http-server.js';
import type { Log } from '../transport/log.js';
import { messageOf } from '../transport/error-message.js';

/**
 * Serves TLS with the operator's certificate and key files, which may change while the site runs. A pair that can't be used is
 * logged, and the previous pair stays in use.
 */
export function tlsFrom(
  files: { readonly cert: string; readonly key: string },
  log: Log,
): { readonly server: NonNullable<ServerOptions['secure']>; stop(): void } {
  const readPair = (): { cert: Buffer; key: Buffer } => ({
    cert: readFileSync(files.cert),
    key: readFileSync(files.key),
  });
  const servers: Server[] = [];
  let timer: NodeJS.Timeout | undefined;
  const reload = (): void => {
    try {
      const pair = readPair();
      for (const s of servers) s.setSecureContext(pair);
      log.info('certificate-read');
    } catch (e) {
      log.error('certificate-not-usable', { why: messageOf(e) });
    }
  };
  const watchers: FSWatcher[] = [files.cert, files.key].map((f) =>
    // The two files change one after the other; they are read once neither has changed for 300 ms.
    watch(f, () => {
      clearTimeout(timer);
      timer = setTimeout(reload, 300);
    }),
  );
  return {
    server: {
      options: readPair(),
      createServer: (options: TlsOptions, listener?: unknown) => {
        const server = createServer(options, listener as never);
        servers.push(server);
        return server;
      },
    },
    stop() {
      clearTimeout(timer);
      for (const w of watchers) w.close();
    },
  };
}
