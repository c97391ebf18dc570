/**
 * Client of the state service, the consensus-backed key-value store. It stays within this node's share of the service's rates
 * and says for each failure whether the call may have been executed. It retries only pages of a range.
 */
import type { RateLimiter } from '../transport/rate-limiter.js';
import { RequestPriority } from '../transport/rate-limiter.js';
import { sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { HttpClient, Reply } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import { err, ok, type Result } from '../transport/result.js';
import { decodeAs } from '../protocol/codec.js';
import type { Address, LeaseId, Revision, StoreKey } from '../protocol/ids.js';
import {
  changesPath,
  changesSchema,
  committedSchema,
  conflictSchema,
  encodeTtl,
  encodeTransaction,
  entrySchema,
  keyPath,
  leasePath,
  leaseSchema,
  rangePath,
  rangeSchema,
  renewPath,
  type Change,
  type Condition,
  type StoreEntry,
  type StoreEvent,
} from '../protocol/state.js';
import { Paths } from '../protocol/wire.js';

/** Why a call failed. */
export interface StoreFailure {
  /**
   * `unavailable`: certainly not executed. `unknown`: it may have been executed, or may still be, minutes from now; the caller
   * must reread and never assume an outcome. `gone`: the service no longer keeps changes that old. `refused`: the service
   * rejected the request as malformed.
   */
  readonly kind: 'unavailable' | 'unknown' | 'gone' | 'refused';
  /** For the log. */
  readonly why: string;
  /** The service refused the call because of its rate limit. */
  readonly throttled?: boolean;
}

/** Outcome of a transaction that the service answered; a conflict names the keys whose conditions failed. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly failed: readonly StoreKey[] };

/** Keys per page of a range. */
const RANGE_PAGE_SIZE = 128;
/** A call that takes longer counts as unanswered, and its outcome as unknown. */
const CALL_TIMEOUT_MS = 1500;
/** Delay before a failed read of the node's cache or of a page is retried. */
export const RETRY_DELAY_MS = 300;
/** Before the first contact, the last one counts as this long ago. */
const INITIAL_CONTACT_AGE_MS = 3_600_000;

const HttpStatus = {
  ok: 200,
  notFound: 404,
  conflict: 409,
  gone: 410,
  throttled: 429,
  unavailable: 503,
} as const;

/** A call to the service. */
interface StoreRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: Uint8Array | undefined;
  readonly priority: RequestPriority;
  /** Number of changes in it, which are charged to the write rate. */
  readonly writes?: number;
  readonly timeoutMs?: number;
}

/** The state service as one node sees it. */
export class StoreClient {
  /** When the last call that got an answer other than a refusal was sent: never later than the contact itself. */
  lastContactAt: SteadyMs;
  /** Calls since then that failed. */
  consecutiveFailures = 0;

  constructor(
    private readonly http: HttpClient,
    private readonly address: Address,
    private readonly clock: Clock,
    private readonly requestLimiter: RateLimiter,
    private readonly writeLimiter: RateLimiter,
    private readonly log: Log,
  ) {
    this.lastContactAt = (clock.now() - INITIAL_CONTACT_AGE_MS) as SteadyMs;
  }

  private async call(request: StoreRequest): Promise<Result<Reply, StoreFailure>> {
    const { method, path, body, priority, writes = 0, timeoutMs = CALL_TIMEOUT_MS } = request;
    if (priority <= RequestPriority.User) {
      // Lease renewals and user requests never queue here; the worst effect of overdrawing is a refusal by the service.
      this.requestLimiter.overdraw(1);
      this.writeLimiter.overdraw(writes);
    } else if (
      !(await this.writeLimiter.acquire(writes, priority, CALL_TIMEOUT_MS)) ||
      !(await this.requestLimiter.acquire(1, priority, CALL_TIMEOUT_MS))
    ) {
      return err({ kind: 'unavailable', why: 'rate limit of this node' });
    }
    const sentAt = this.clock.now();
    const reply = await this.http.call(this.address, method, path, body, timeoutMs);
    if (!reply.ok) {
      const { kind, why } = reply.error;
      this.consecutiveFailures++;
      this.log.debug('store-call-failed', { path, why });
      return err({ kind: kind === 'refused' ? 'unavailable' : 'unknown', why });
    }
    const refusal = this.refusalOf(path, reply.value.status, writes);
    if (refusal) return err(refusal);
    this.consecutiveFailures = 0;
    if (sentAt > this.lastContactAt) this.lastContactAt = sentAt;
    return ok(reply.value);
  }

  private refusalOf(path: string, status: number, writes: number): StoreFailure | undefined {
    const throttled = status === HttpStatus.throttled;
    if (!throttled && status !== HttpStatus.unavailable) return undefined;
    if (throttled) {
      this.requestLimiter.onThrottled();
      if (writes > 0) this.writeLimiter.onThrottled();
    } else {
      this.consecutiveFailures++;
    }
    this.log.debug('store-request-refused', { path, status });
    return { kind: 'unavailable', why: `status ${status}`, throttled };
  }

  private malformedReply(path: string, why: string): Result<never, StoreFailure> {
    this.log.error('store-reply-malformed', { path, why });
    return err({ kind: 'unknown', why });
  }

  /** Reads a key; undefined where it does not exist. */
  async get(key: StoreKey, priority: RequestPriority): Promise<Result<StoreEntry | undefined, StoreFailure>> {
    const reply = await this.call({ method: 'GET', path: keyPath(key), priority });
    if (!reply.ok) return reply;
    if (reply.value.status === HttpStatus.notFound) return ok(undefined);
    const entry = decodeAs(entrySchema, reply.value.body);
    return entry.ok ? ok(entry.value) : this.malformedReply(key, entry.error);
  }

  /**
   * Reads all keys under a prefix, page by page; the revision is that of the first page, so it is never too new. A failed page is
   * requested again on its own as long as `shouldRetry` says so: starting over at each refusal would keep a throttled service
   * throttled, and a new leader would never finish loading its cluster state.
   */
  async range(
    prefix: string,
    priority: RequestPriority,
    shouldRetry: () => boolean = () => false,
  ): Promise<Result<{ entries: StoreEntry[]; revision: Revision }, StoreFailure>> {
    const entries: StoreEntry[] = [];
    let after: string | undefined;
    let revision: Revision | undefined;
    for (;;) {
      const reply = await this.call({
        method: 'GET',
        path: rangePath(prefix, after, RANGE_PAGE_SIZE),
        priority,
      });
      if (!reply.ok) {
        if (!shouldRetry()) return reply;
        await sleep(this.clock, RETRY_DELAY_MS);
        continue;
      }
      const page = decodeAs(rangeSchema, reply.value.body);
      if (!page.ok) return this.malformedReply(prefix, page.error);
      revision ??= page.value.revision;
      entries.push(...page.value.entries);
      const last = page.value.entries.at(-1);
      if (!page.value.more || !last) return ok({ entries, revision });
      after = last.key;
    }
  }

  /**
   * Reserves write rate for changes before they are known, so that they are planned on the newest state. Returns whether the
   * rate allows them soon.
   */
  reserveWrites(changes: number, priority: RequestPriority): Promise<boolean> {
    return this.writeLimiter.acquire(changes, priority, 2 * CALL_TIMEOUT_MS);
  }

  /** Returns reserved writes that are not needed. */
  releaseWrites(changes: number, priority: RequestPriority): void {
    if (changes > 0) this.writeLimiter.refund(changes, priority);
  }

  /** Makes all changes if all conditions hold, and none otherwise. `writesReserved`: the writes were reserved before. */
  async txn(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
    writesReserved = false,
  ): Promise<Result<TransactionOutcome, StoreFailure>> {
    const body = encodeTransaction(conditions, changes);
    const writes = writesReserved ? 0 : changes.length;
    const reply = await this.call({ method: 'POST', path: Paths.txn, body, priority, writes });
    if (!reply.ok) return reply;
    const { status } = reply.value;
    if (status === HttpStatus.ok) {
      const committed = decodeAs(committedSchema, reply.value.body);
      if (!committed.ok) return this.malformedReply(Paths.txn, committed.error);
      return ok({ kind: 'committed', revision: committed.value });
    }
    if (status === HttpStatus.conflict) {
      const conflict = decodeAs(conflictSchema, reply.value.body);
      if (!conflict.ok) return this.malformedReply(Paths.txn, conflict.error);
      return ok({ kind: 'conflict', failed: conflict.value.failed });
    }
    this.log.error('store-transaction-rejected', { status, changes: changes.length });
    return err({ kind: 'refused', why: `status ${status}` });
  }

  /** Grants a lease that ends when it is not renewed for `ttlMs`. */
  async grantLease(ttlMs: number): Promise<Result<LeaseId, StoreFailure>> {
    const reply = await this.call({
      method: 'POST',
      path: Paths.leases,
      body: encodeTtl(ttlMs),
      priority: RequestPriority.Lease,
    });
    if (!reply.ok) return reply;
    const lease = decodeAs(leaseSchema, reply.value.body);
    return lease.ok ? ok(lease.value) : this.malformedReply(Paths.leases, lease.error);
  }

  /** Renews a lease, or reports that it has ended. */
  async renewLease(lease: LeaseId, timeoutMs: number): Promise<Result<'renewed' | 'ended', StoreFailure>> {
    const reply = await this.call({
      method: 'POST',
      path: renewPath(lease),
      priority: RequestPriority.Lease,
      timeoutMs,
    });
    if (!reply.ok) return reply;
    const { status } = reply.value;
    if (status === HttpStatus.ok) return ok('renewed');
    if (status === HttpStatus.notFound) return ok('ended');
    return this.malformedReply(Paths.leases, `status ${status}`);
  }

  /** Ends a lease, and with it the keys attached to it. */
  async endLease(lease: LeaseId): Promise<Result<true, StoreFailure>> {
    const reply = await this.call({
      method: 'DELETE',
      path: leasePath(lease),
      priority: RequestPriority.Lease,
    });
    return reply.ok ? ok(true) : reply;
  }

  /**
   * Reads the changes under a prefix after a revision, waiting up to `waitMs` for the first one. Failure `gone`: the service
   * no longer keeps changes that old; the keys must be read again.
   */
  async changes(
    prefix: string,
    after: Revision,
    waitMs: number,
    priority: RequestPriority,
  ): Promise<Result<{ revision: Revision; events: StoreEvent[] }, StoreFailure>> {
    const path = changesPath(prefix, after, waitMs);
    const reply = await this.call({ method: 'GET', path, priority, timeoutMs: waitMs + CALL_TIMEOUT_MS });
    if (!reply.ok) return reply;
    if (reply.value.status === HttpStatus.gone)
      return err({ kind: 'gone', why: 'the service no longer keeps these changes' });
    const changes = decodeAs(changesSchema, reply.value.body);
    return changes.ok ? ok(changes.value) : this.malformedReply(path, changes.error);
  }
}
