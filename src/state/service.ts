import { StallAwareClock } from '../transport/stall-aware-clock.js';
import type { Clock } from '../transport/clock.js';
import type { Reply, RequestHead, Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import type { Metrics } from '../transport/metrics.js';
import { encode, jsonByteLength } from '../protocol/codec.js';
import { F, Paths } from '../protocol/wire.js';
import { KeyValueTable } from './key-value-table.js';
import { Committer, type Outcome } from './committer.js';
import { Leases } from './leases.js';
import { RecordNames, unpackHeader, unpackKeyRecord, type HistoryEntry } from './records.js';
import {
  isKey,
  MAX_WAIT_MS,
  PAGE_LIMITS,
  readCount,
  readTransaction,
  readTtl,
  type StateLimits,
} from './requests.js';
import type { Storage } from './storage.js';
import { TokenBucket } from './token-bucket.js';
import { Watches } from './watches.js';

export interface StateDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly limits: StateLimits;
  readonly open: () => Promise<Storage>;
}

const LEASE_SWEEP_INTERVAL_MS = 40;

const reply = (status: number, body: unknown): Reply => ({ status, body: encode(body) });
const errorReply = (status: number, why: string): Reply => reply(status, { [F.error]: why });
const unavailable = (): Reply => ({
  status: 503,
  body: encode({ [F.error]: 'the storage takes nothing just now' }),
  headers: { 'retry-after': '1' },
});
const throttled = (): Reply => ({
  status: 429,
  body: encode({ [F.error]: 'over the limit' }),
  headers: { 'retry-after': '1' },
});

/** The protocol's state service on a durable storage. */
export class StateService {
  readonly routes: readonly Route[];
  private readonly committer: Committer;
  private readonly stallAwareClock: StallAwareClock;
  private readonly leases: Leases;
  private readonly watches: Watches;
  private readonly requestRate: TokenBucket;
  private readonly writeRate: TokenBucket;
  private closed = false;

  private constructor(
    private readonly deps: StateDeps,
    table: KeyValueTable,
  ) {
    const { clock, limits } = deps;
    this.stallAwareClock = new StallAwareClock(clock);
    this.leases = new Leases(clock, this.stallAwareClock);
    this.leases.resetAll(table.leases);
    this.watches = new Watches(clock);
    this.requestRate = new TokenBucket(clock, limits.rps);
    this.writeRate = new TokenBucket(clock, limits.writeRps);
    this.committer = new Committer(
      {
        clock,
        log: deps.log,
        metrics: deps.metrics,
        reopen: deps.open,
        hasLease: (id) => this.leases.has(id),
        onCommitted: (_, batch) => this.watches.notify(batch.historyItems),
        onReopened: (table) => {
          this.leases.resetAll(table.leases);
          this.watches.wakeAll();
        },
      },
      table,
    );
    deps.metrics.registerGauge('state', () => ({
      revision: this.table.header.revision,
      keys: this.table.header.keys,
      leases: this.leases.count,
    }));
    this.routes = this.buildRoutes();
    this.expireLeases();
  }

  /** Opens and checks the storage; throws if it is locked or damaged. */
  static async open(deps: StateDeps): Promise<StateService> {
    const storage = await deps.open();
    try {
      const service = new StateService(deps, await KeyValueTable.open(storage, storage.fresh));
      const { revision, keys } = service.table.header;
      deps.log.info('state-open', { revision, keys });
      return service;
    } catch (e) {
      await storage.close();
      throw e;
    }
  }

  private get table(): KeyValueTable {
    return this.committer.table;
  }

  async close(): Promise<void> {
    this.closed = true;
    this.stallAwareClock.stop();
    this.watches.wakeAll();
    await this.committer.close();
  }

  private get isUnavailable(): boolean {
    return this.closed || this.committer.unavailableSince !== undefined;
  }

  private expireLeases(): void {
    if (this.closed) return;
    if (!this.isUnavailable) for (const id of this.leases.expired()) void this.endLease(id);
    this.deps.clock.after(LEASE_SWEEP_INTERVAL_MS, () => this.expireLeases());
  }

  private async endLease(id: number): Promise<Outcome> {
    this.leases.markEnding(id);
    const outcome = await this.committer.submit({ op: 'end-lease', id });
    if (outcome.kind === 'committed') this.leases.remove(id);
    else this.leases.renewAll();
    return outcome;
  }

  private buildRoutes(): Route[] {
    const limited =
      (handle: Route['handle']): Route['handle'] =>
      (params, body, head) => {
        if (this.isUnavailable) return unavailable();
        return this.requestRate.take(1) ? handle(params, body, head) : throttled();
      };
    const route = (method: Route['method'], path: string, handle: Route['handle']): Route => ({
      method,
      path,
      handle: limited(handle),
    });
    return [
      route('GET', Paths.keys, (_params, _body, head) => this.listKeys(queryOf(head))),
      route('GET', `${Paths.keys}/:key{.+}`, (params) => this.readKey(params['key'] ?? '')),
      route('POST', Paths.txn, (_, body) => this.transaction(body)),
      route('POST', Paths.leases, (_, body) => this.createLease(body)),
      route('POST', `${Paths.leases}/:id${Paths.renewSuffix}`, (params) =>
        this.renewLease(params['id'] ?? ''),
      ),
      route('DELETE', `${Paths.leases}/:id`, (params) => this.deleteLease(params['id'] ?? '')),
      route('GET', Paths.changes, (_params, _body, head) => this.readChanges(queryOf(head))),
    ];
  }

  // ---- reads ------------------------------------------------------------------------------------------

  private async readKey(key: string): Promise<Reply> {
    if (!isKey(key)) return errorReply(400, 'no key');
    const view = this.table.storage.view();
    try {
      const bytes = view.get(RecordNames.key(key));
      if (!bytes) return reply(404, { [F.revision]: this.revisionOf(view) });
      const record = unpackKeyRecord(key, bytes);
      if (!record.ok) return this.damagedReply(record.error);
      const { mark, lease, value } = record.value;
      return reply(200, {
        [F.key]: key,
        [F.value]: value,
        [F.modRevision]: mark,
        ...(lease === 0 ? {} : { [F.lease]: lease }),
      });
    } finally {
      await view.close();
    }
  }

  private revisionOf(view: { get(name: string): Uint8Array | undefined }): number {
    const bytes = view.get(RecordNames.header);
    const header = bytes && unpackHeader(bytes);
    return header?.ok ? header.value.revision : this.table.header.revision;
  }

  /** Answers a read of a damaged record with an error rather than as a missing key. */
  private damagedReply(why: string): Reply {
    this.deps.log.error('state-damaged', { why });
    return errorReply(500, why);
  }

  private async listKeys(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get(F.prefix) ?? '';
    const after = query.get(F.after) ?? '';
    const requestedLimit = readCount(query, F.limit);
    if (!requestedLimit.ok) return errorReply(400, requestedLimit.error);
    const limit = Math.min(PAGE_LIMITS.items, requestedLimit.value ?? PAGE_LIMITS.items);
    if (limit === 0) return errorReply(400, `${F.limit}: must be at least 1`);
    const view = this.table.storage.view();
    try {
      const entries: unknown[] = [];
      let sizeBytes = 0;
      let more = false;
      // The range excludes its start, so a listing from the beginning starts just before all names with the prefix.
      const from = after > prefix ? RecordNames.key(after) : justBefore(RecordNames.key(prefix));
      for await (const [name, bytes] of view.range(from, `${RecordNames.key(prefix)}\u{10ffff}`, limit + 1)) {
        const key = name.slice(1);
        if (!key.startsWith(prefix)) continue;
        const record = unpackKeyRecord(key, bytes);
        if (!record.ok) return this.damagedReply(record.error);
        const entry = { [F.key]: key, [F.value]: record.value.value, [F.modRevision]: record.value.mark };
        sizeBytes += jsonByteLength(entry) + 1;
        if (entries.length >= limit || (entries.length > 0 && sizeBytes > PAGE_LIMITS.bytes)) {
          more = true;
          break;
        }
        entries.push(entry);
      }
      return reply(200, { [F.items]: entries, [F.more]: more, [F.revision]: this.revisionOf(view) });
    } finally {
      await view.close();
    }
  }

  // ---- changes ----------------------------------------------------------------------------------------

  private async readChanges(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get(F.prefix) ?? '';
    const since = readCount(query, F.after);
    const waitMs = readCount(query, F.waitMs);
    if (!since.ok) return errorReply(400, since.error);
    if (!waitMs.ok) return errorReply(400, waitMs.error);
    if (since.value === undefined) return errorReply(400, `${F.after}: missing`);
    if ((waitMs.value ?? 0) > MAX_WAIT_MS)
      return errorReply(400, `${F.waitMs}: must be at most ${MAX_WAIT_MS}`);
    if (this.watches.full) return throttled();
    const { clock } = this.deps;
    const deadline = clock.now() + (waitMs.value ?? 0);
    for (;;) {
      // A pending watch stays open during an outage.
      if (!this.isUnavailable) {
        if (since.value < this.table.header.forgotten) return errorReply(410, 'too old');
        const found = this.table.history.changesAfter(since.value, prefix);
        if (found.length > 0 || clock.now() >= deadline) return this.changesReply(found);
      }
      if (this.closed) return unavailable();
      await this.watches.next(prefix, this.isUnavailable ? 200 : Math.max(1, deadline - clock.now()));
    }
  }

  private changesReply(entries: readonly HistoryEntry[]): Reply {
    return reply(200, {
      [F.revision]: this.table.header.revision,
      [F.events]: entries.map((entry) =>
        entry.removed
          ? { [F.delete]: entry.key, [F.modRevision]: entry.revision }
          : { [F.put]: entry.key, [F.value]: entry.value, [F.modRevision]: entry.revision },
      ),
    });
  }

  // ---- writes -----------------------------------------------------------------------------------------

  private async transaction(body: Uint8Array): Promise<Reply> {
    const txn = readTransaction(body, this.deps.limits);
    if (!txn.ok) return errorReply(400, txn.error);
    if (!this.writeRate.take(txn.value.then.length)) return throttled();
    const outcome = await this.committer.submit({ op: 'txn', ...txn.value });
    switch (outcome.kind) {
      case 'committed':
        return reply(200, { [F.revision]: outcome.revision });
      case 'conflict':
        return reply(409, { [F.failed]: outcome.failed, [F.revision]: outcome.revision });
      case 'no-lease':
        return errorReply(400, 'no such lease');
      case 'lease':
      case 'refused':
        return unavailable();
    }
  }

  private async createLease(body: Uint8Array): Promise<Reply> {
    const ttl = readTtl(body);
    if (!ttl.ok) return errorReply(400, ttl.error);
    const outcome = await this.committer.submit({ op: 'new-lease', ttlMs: ttl.value });
    if (outcome.kind !== 'lease') return unavailable();
    this.leases.add(outcome.id, ttl.value);
    return reply(200, { [F.lease]: outcome.id });
  }

  private renewLease(text: string): Reply {
    const id = parseLeaseId(text);
    if (id === undefined) return errorReply(400, 'no lease id');
    return this.leases.renew(id) ? reply(200, { [F.lease]: id }) : errorReply(404, 'no such lease');
  }

  private async deleteLease(text: string): Promise<Reply> {
    const id = parseLeaseId(text);
    if (id === undefined) return errorReply(400, 'no lease id');
    if (!this.leases.has(id)) return errorReply(404, 'no such lease');
    const outcome = await this.endLease(id);
    return outcome.kind === 'committed' ? reply(200, { [F.lease]: id }) : unavailable();
  }
}

const parseLeaseId = (text: string): number | undefined =>
  /^[1-9][0-9]{0,14}$/.test(text) ? Number(text) : undefined;

/** A name that sorts just before all names that begin with this one. */
const justBefore = (name: string): string =>
  name.slice(0, -1) + String.fromCodePoint(name.codePointAt(name.length - 1)! - 1) + '\u{10ffff}';

const queryOf = (head: RequestHead): URLSearchParams => {
  const url = head.url ?? '';
  const queryStart = url.indexOf('?');
  return new URLSearchParams(queryStart < 0 ? '' : url.slice(queryStart + 1));
};
