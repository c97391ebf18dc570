import type { Result } from './result.js';

export interface Reply {
  readonly status: number;
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * A call without an answer. `refused`: no connection was established, so nothing was sent and the call cannot be executed
 * later. `unknown`: the call may have been executed, or may still be executed minutes later.
 */
export interface CallFailure {
  readonly kind: 'refused' | 'unknown';
  readonly why: string;
}

export interface HttpClient {
  call(
    address: string,
    method: string,
    path: string,
    body: Uint8Array | undefined,
    deadlineMs: number,
  ): Promise<Result<Reply, CallFailure>>;
}

/** A request apart from its path parameters and its body. */
export interface RequestHead {
  readonly method?: string | undefined;
  /** Path and query, as sent. */
  readonly url?: string | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export type Handler = (
  params: Readonly<Record<string, string>>,
  body: Uint8Array,
  head: RequestHead,
) => Promise<Reply> | Reply;

/** Checks a request before its route handles it. Returns the refusal, or undefined if the request may proceed. */
export type RequestGuard = (head: RequestHead, body: Uint8Array) => Reply | undefined;

/** Returns additional headers for a request that is about to be sent. */
export type RequestSigner = (
  method: string,
  path: string,
  body: Uint8Array | undefined,
) => Record<string, string>;

export interface Route {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** A path in hono's notation, `/v1/jobs/:id`. */
  readonly path: string;
  readonly handle: Handler;
}
