import { decode, encode } from '../../src/protocol/codec.js';
import { F, Paths } from '../../src/protocol/wire.js';
import type { Reply } from '../../src/transport/http.js';
import { seededRandom, type Random } from '../../src/transport/random.js';
import { TransactionChecker, type ReceivedTransaction } from './transaction-checker.js';
import type { VirtualTime } from './virtual-time.js';

interface StoredEntry {
  value: unknown;
  modRevision: number;
  lease: number | undefined;
}

export type TxnFault =
  | 'crash-before'
  | 'crash-after'
  | 'lose-reply'
  | 'throttled'
  | 'unavailable'
  | 'garbled'
  | { readonly holdS: number }
  | { readonly outageS: number }
  | { readonly slowAnswerS: number };

/** Faults of single transactions whose callers learn nothing of the outcome, or that were not carried out. */
const BAD_ANSWERS: readonly TxnFault[] = [
  'lose-reply',
  'throttled',
  'unavailable',
  'garbled',
  { holdS: 3 },
  { slowAnswerS: 0.6 },
  { slowAnswerS: 2 },
];

/** Selects, before a prefix, transactions that change nothing and compare a key under the prefix. */
const COMPARE_MARK = 'compare:';

/** What to do with the nth transaction that puts or removes a key under a prefix, or that only compares one (`compare:PREFIX`). */
export interface TxnHook {
  readonly prefix: string;
  nth: number;
  readonly fault: TxnFault;
}

type WireMap = Record<string, unknown>;

const MAX_CHANGE_LOG = 10_000;
const isMap = (v: unknown): boolean => typeof v === 'object' && v !== null && !Array.isArray(v);
const isKey = (v: unknown): boolean =>
  typeof v === 'string' && /^\S{1,200}$/.test(v) && Buffer.byteLength(v) <= 200;

const wellFormed = (map: WireMap, changes: unknown): boolean =>
  Array.isArray(changes) &&
  Array.isArray(map[F.if] ?? []) &&
  ((map[F.if] ?? []) as WireMap[]).every(
    (c) => isMap(c) && isKey(c[F.key]) && Number(c[F.modRevision]) >= 0,
  ) &&
  (changes as WireMap[]).every((c) => isMap(c) && isKey(c[F.put] ?? c[F.delete]));

const bigintToNumber = (_: string, v: unknown): unknown => (typeof v === 'bigint' ? Number(v) : v);
const neverAnswers = (): Promise<Reply> => new Promise(() => undefined);
/** No CBOR item: an answer whose status arrives and whose body can't be read. */
const GARBLED_BODY = new Uint8Array([0xff]);
const reply = (status: number, body: unknown): Reply => ({ status, body: encode(body) });

const receivedTransaction = (
  conditions: readonly WireMap[],
  changes: readonly WireMap[],
): ReceivedTransaction => ({
  conditions: conditions.map((c) => ({ key: String(c[F.key]), modRevision: Number(c[F.modRevision]) })),
  puts: changes.flatMap((c) => (c[F.put] === undefined ? [] : [String(c[F.put])])),
  deletes: changes.flatMap((c) => (c[F.delete] === undefined ? [] : [String(c[F.delete])])),
});

/** The state service, as its protocol says it behaves. */
export class SimulatedStore {
  readonly keys = new Map<string, StoredEntry>();
  private readonly leases = new Map<number, { until: number; ttl: number }>();
  private revision = 0;
  private nextLease = 1;
  private readonly changeLog: { key: string; value?: unknown; modRevision: number; removed: boolean }[] = [];
  private watchers: (() => void)[] = [];
  private requestTokens: number;
  private writeTokens: number;
  private refilledAt = 0;
  outage = false;
  readonly refusedHosts = new Set<string>();
  readonly hooks: TxnHook[] = [];
  /** Judges the transactions of leaders. */
  readonly transactionChecker = new TransactionChecker(this);
  /** What to call when the answers to transactions leave. */
  private readonly onAnswered = new WeakMap<Reply, () => void>();
  onCrash: (host: string) => void = () => undefined;
  onOutage: (seconds: number) => void = () => undefined;
  /** Transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same node. */
  lateWrites = { share: 0, until: 0 };
  /** Transactions that are carried out at once and whose answer is lost: other nodes read what they wrote. */
  lostAnswers = { share: 0, until: 0 };
  /** Transactions, comparisons without changes among them, that get one of `BAD_ANSWERS`. */
  badAnswers = { share: 0, until: 0 };
  /** Requests that take longer, half of them on the way here and half on the way back. */
  slowRequests = { share: 0, ms: 0, until: 0 };
  requests = 0;
  writes = 0;
  throttled = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly limits: { rps: number; writeRps: number; txnOps: number; valueKb: number },
    private readonly random: Random = seededRandom(1),
  ) {
    this.requestTokens = limits.rps;
    this.writeTokens = limits.writeRps;
    const expire = (): void => {
      for (const [id, lease] of this.leases) if (!this.outage && lease.until < time.now) this.endLease(id);
      time.after(50, expire);
    };
    expire();
  }

  setOutage(on: boolean): void {
    this.outage = on;
    if (!on) {
      for (const lease of this.leases.values()) lease.until = this.time.now + lease.ttl;
      this.notify();
    }
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.keys].filter(([, k]) => k.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.notify();
  }

  /** The data of a key; undefined where it does not exist. */
  valueOf(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  keysUnder(prefix: string): string[] {
    return [...this.keys.keys()].filter((key) => key.startsWith(prefix));
  }

  /** The revision of the last change of a key under the prefix; 0 if there was none. */
  lastChangeUnder(prefix: string): number {
    return this.changeLog.findLast(({ key }) => key.startsWith(prefix))?.modRevision ?? 0;
  }

  private remove(key: string): void {
    if (this.keys.delete(key)) this.changeLog.push({ key, modRevision: this.revision, removed: true });
  }

  private notify(): void {
    const watchers = this.watchers;
    this.watchers = [];
    for (const wake of watchers) wake();
  }

  private takeTokens(writes: number): boolean {
    const elapsedS = (this.time.now - this.refilledAt) / 1000;
    this.refilledAt = this.time.now;
    this.requestTokens = Math.min(this.limits.rps, this.requestTokens + elapsedS * this.limits.rps);
    this.writeTokens = Math.min(this.limits.writeRps, this.writeTokens + elapsedS * this.limits.writeRps);
    if (this.requestTokens < 1 || this.writeTokens < writes) {
      this.throttled++;
      return false;
    }
    this.requestTokens--;
    this.writeTokens -= writes;
    return true;
  }

  async handle(from: string, method: string, path: string, body: Uint8Array): Promise<Reply> {
    const { time, slowRequests, random } = this;
    const isSlow = time.now < slowRequests.until && random.next() < slowRequests.share;
    const extraMs = isSlow ? slowRequests.ms * (0.5 + random.next()) : 0;
    const before = isSlow && random.next() < 0.5;
    if (before) await time.sleep(extraMs);
    const reply = await this.answer(from, method, path, body);
    if (isSlow && !before) await time.sleep(extraMs);
    this.onAnswered.get(reply)?.();
    return reply;
  }

  private async answer(from: string, method: string, path: string, body: Uint8Array): Promise<Reply> {
    this.requests++;
    if (this.outage || this.refusedHosts.has(from)) return reply(503, {});
    const [route, query] = path.split('?') as [string, string | undefined];
    const q = new URLSearchParams(query ?? '');
    const data = body.length > 0 ? decode(body) : undefined;
    if (method === 'POST' && !route.endsWith(Paths.renewSuffix) && !(data?.ok && isMap(data.value)))
      return reply(400, {});
    const map = (data?.ok ? data.value : {}) as WireMap;
    const changes = (map[F.then] ?? []) as WireMap[];
    if (route === Paths.txn && !wellFormed(map, changes)) return reply(400, {});
    if (!this.takeTokens(changes.length)) return reply(429, {});
    if (route === Paths.txn) return this.txnWithHooks(from, map, changes);
    if (route === Paths.leases) {
      const id = this.nextLease++;
      const ttl = Number(map[F.ttlMs]);
      if (!(ttl >= 100 && ttl <= 600_000)) return reply(400, {});
      this.leases.set(id, { until: this.time.now + ttl, ttl });
      return reply(200, { [F.lease]: id });
    }
    if (route.startsWith(`${Paths.leases}/`)) return this.lease(method, route);
    if (route === Paths.changes) {
      return this.watch(
        q.get(F.prefix) ?? '',
        Number(q.get(F.after) ?? NaN),
        Number(q.get(F.waitMs) ?? 0),
        from,
      );
    }
    if (route === Paths.keys) return this.list(q);
    const key = route.slice(Paths.keys.length + 1);
    const entry = this.keys.get(key);
    if (!entry) return reply(404, { [F.revision]: this.revision });
    const leaseField = entry.lease === undefined ? {} : { [F.lease]: entry.lease };
    return reply(200, {
      [F.key]: key,
      [F.value]: entry.value,
      [F.modRevision]: entry.modRevision,
      ...leaseField,
    });
  }

  private lease(method: string, route: string): Reply {
    const id = Number(route.slice(Paths.leases.length + 1).replace(Paths.renewSuffix, ''));
    const lease = this.leases.get(id);
    if (!lease) return reply(404, {});
    if (method === 'DELETE') this.endLease(id);
    else lease.until = this.time.now + lease.ttl;
    return reply(200, {});
  }

  private list(query: URLSearchParams): Reply {
    const prefix = query.get(F.prefix) ?? '';
    const after = query.get(F.after) ?? '';
    const limit = Math.min(1000, Number(query.get(F.limit) ?? 1000));
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const shown: unknown[] = [];
    let size = 0;
    for (const key of keys.slice(0, limit)) {
      const stored = this.keys.get(key)!;
      const entry = { [F.key]: key, [F.value]: stored.value, [F.modRevision]: stored.modRevision };
      // Counting costs; only pages of large values come near the limit.
      size += limit > 100 && typeof stored.value === 'string' ? stored.value.length + 60 : 0;
      if (size > 512 * 1024) break;
      shown.push(entry);
    }
    return reply(200, {
      [F.items]: shown,
      [F.more]: keys.length > shown.length,
      [F.revision]: this.revision,
    });
  }

  private async watch(prefix: string, afterRevision: number, waitMs: number, from: string): Promise<Reply> {
    const until = this.time.now + waitMs;
    if (waitMs > 60_000 || Number.isNaN(afterRevision)) return reply(400, {});
    for (;;) {
      const oldest =
        this.changeLog.length > MAX_CHANGE_LOG
          ? this.changeLog[this.changeLog.length - MAX_CHANGE_LOG - 1]!.modRevision
          : 0;
      if (afterRevision < oldest) return reply(410, {});
      const blocked = this.outage || this.refusedHosts.has(from);
      const events = blocked
        ? []
        : this.changeLog.filter((e) => e.modRevision > afterRevision && e.key.startsWith(prefix));
      if (events.length > 0 || (this.time.now >= until && !blocked)) {
        return reply(200, {
          [F.revision]: this.revision,
          [F.events]: events.map((e) =>
            e.removed
              ? { [F.delete]: e.key, [F.modRevision]: e.modRevision }
              : { [F.put]: e.key, [F.value]: e.value, [F.modRevision]: e.modRevision },
          ),
        });
      }
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
        this.time.after(Math.max(10, until - this.time.now), resolve);
      });
    }
  }

  private txnWithHooks(from: string, map: WireMap, changes: WireMap[]): Reply | Promise<Reply> {
    const fault = this.hookedFault(map, changes) ?? this.drawnFault(changes);
    return fault === undefined ? this.txn(map, changes) : this.txnWithFault(from, map, changes, fault);
  }

  private hookedFault(map: WireMap, changes: WireMap[]): TxnFault | undefined {
    const compared = (): unknown[] => ((map[F.if] ?? []) as WireMap[]).map((c) => c[F.key]);
    const isUnder = (key: unknown, prefix: string): boolean =>
      typeof key === 'string' && key.startsWith(prefix);
    const isSelected = (prefix: string): boolean =>
      prefix.startsWith(COMPARE_MARK)
        ? changes.length === 0 && compared().some((key) => isUnder(key, prefix.slice(COMPARE_MARK.length)))
        : changes.some((c) => isUnder(c[F.put] ?? c[F.delete], prefix));
    return this.hooks.find((h) => isSelected(h.prefix) && --h.nth === 0)?.fault;
  }

  /** The fault that a share of all transactions gets for a time, if any is due. */
  private drawnFault(changes: WireMap[]): TxnFault | undefined {
    const { time, lateWrites, lostAnswers, badAnswers, random } = this;
    const isIn = (of: { share: number; until: number }): boolean =>
      time.now < of.until && random.next() < of.share;
    if (isIn(badAnswers)) return BAD_ANSWERS[Math.floor(random.next() * BAD_ANSWERS.length)];
    if (changes.length === 0) return undefined;
    if (isIn(lostAnswers)) return 'lose-reply';
    return isIn(lateWrites) ? { holdS: 2 + 10 * random.next() } : undefined;
  }

  private txnWithFault(
    from: string,
    map: WireMap,
    changes: WireMap[],
    fault: TxnFault,
  ): Reply | Promise<Reply> {
    switch (fault) {
      case 'throttled':
        return reply(429, {});
      case 'unavailable':
        return reply(503, {});
      case 'crash-before':
        this.onCrash(from);
        return neverAnswers();
      case 'crash-after':
        this.txn(map, changes);
        this.onCrash(from);
        return neverAnswers();
      case 'lose-reply':
        this.txn(map, changes);
        return neverAnswers();
      case 'garbled':
        return { ...this.txn(map, changes), body: GARBLED_BODY };
    }
    if ('holdS' in fault) {
      this.time.after(fault.holdS * 1000, () => this.txn(map, changes));
      return neverAnswers();
    }
    const answer = this.txn(map, changes);
    if ('slowAnswerS' in fault) return this.time.sleep(fault.slowAnswerS * 1000).then(() => answer);
    this.onOutage(fault.outageS);
    return answer;
  }

  private txn(map: WireMap, changes: WireMap[]): Reply {
    const conditions = (map[F.if] ?? []) as WireMap[];
    if (changes.length > this.limits.txnOps || conditions.length > 4 * this.limits.txnOps)
      return reply(400, {});
    if (JSON.stringify(map, bigintToNumber).length > 64 * 1024) return reply(413, {});
    for (const change of changes) {
      if (change[F.lease] !== undefined && !this.leases.has(Number(change[F.lease]))) {
        return reply(400, { [F.error]: 'no such lease' });
      }
      if (JSON.stringify(change[F.value] ?? null).length > this.limits.valueKb * 1024) return reply(400, {});
    }
    const failed = conditions
      .filter((c) => (this.keys.get(String(c[F.key]))?.modRevision ?? 0) !== Number(c[F.modRevision]))
      .map((c) => c[F.key]);
    if (failed.length > 0) {
      const refusal = reply(409, { [F.failed]: failed, [F.revision]: this.revision });
      const transaction = receivedTransaction(conditions, changes);
      this.onAnswered.set(refusal, this.transactionChecker.refused(transaction, failed.map(String)));
      return refusal;
    }
    if (changes.length > 0) this.revision++;
    this.writes += changes.length;
    for (const change of changes) {
      if (change[F.delete] !== undefined) this.remove(String(change[F.delete]));
      else {
        const key = String(change[F.put]);
        const lease = change[F.lease] === undefined ? undefined : Number(change[F.lease]);
        this.keys.set(key, { value: change[F.value], modRevision: this.revision, lease });
        this.changeLog.push({ key, value: change[F.value], modRevision: this.revision, removed: false });
      }
    }
    this.notify();
    const answer = reply(200, { [F.revision]: this.revision });
    const transaction = receivedTransaction(conditions, changes);
    this.onAnswered.set(answer, this.transactionChecker.committed(transaction));
    return answer;
  }
}
