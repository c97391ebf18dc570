import type { Result } from './result.js';

export interface Reply {
  readonly status: number;
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * A call that brought no answer. `refused`: the connection never stood, so nothing was sent and nothing
 * can happen later. `unknown`: it may have been executed, or may still be, minutes from now.
 */
export type CallFailure = { readonly kind: 'refused' | 'unknown'; readonly why: string };

export interface HttpClient {
  call(
    address: string,
    method: string,
    path: string,
    body: Uint8Array | undefined,
    deadlineMs: number,
  ): Promise<Result<Reply, CallFailure>>;
}

export type Handler = (params: Readonly<Record<string, string>>, body: Uint8Array) => Promise<Reply> | Reply;

export interface Route {
  readonly method: 'GET' | 'POST';
  /** A path in hono's notation, `/v1/jobs/:id`. */
  readonly path: string;
  readonly handle: Handler;
}
