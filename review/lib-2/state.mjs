// Stand-in of the state service: the protocol's store in memory, with its limits.
import { now, serve, sleep } from './base.mjs';

const size = (value) =>
  Buffer.byteLength(JSON.stringify(value, (_, v) => (typeof v === 'bigint' ? Number(v) : v)));

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = now();
  }
  take(n) {
    const t = now();
    this.tokens = Math.min(this.rate, this.tokens + (t - this.at) * this.rate);
    this.at = t;
    if (this.tokens < n) return false;
    this.tokens -= n;
    return true;
  }
}

export class StateService {
  keys = new Map();
  ledger = 0;
  history = [];
  forgotten = 0;
  leases = new Map();
  nextLease = 1;
  waiters = new Set();
  /** Whether the service is out for everybody. */
  out = false;
  /** Nodes that alone get 503. */
  refused = new Set();
  /** `(node, method, path, body) => { noAnswer, lateMs, delayMs } | undefined`, for transactions. */
  fault = () => undefined;
  /** How many milliseconds longer an answer to a node takes. */
  slow = () => 0;
  refusals = [];

  constructor(limits, recorder) {
    this.limits = limits;
    this.recorder = recorder;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.timer = setInterval(() => this.expire(), 20);
  }

  /** A listener of its own for each node, so that a fault can be meant for one. */
  async listen(node) {
    const { address } = await serve((...request) => this.handle(node, ...request));
    return address;
  }

  expire() {
    if (this.out) {
      // All leases have their full time again after an outage.
      for (const lease of this.leases.values()) lease.at = now();
      return;
    }
    for (const [id, lease] of this.leases) if (now() - lease.at > lease.life + 0.03) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const removed = [...this.keys]
      .filter(([, entry]) => entry.tether === id)
      .map(([key]) => ({ remove: key }));
    if (removed.length > 0) this.apply(removed);
  }

  apply(changes) {
    this.ledger++;
    for (const change of changes) {
      if (change.set !== undefined) {
        const entry = { data: change.data ?? null, mark: this.ledger };
        if (change.tether) entry.tether = Number(change.tether);
        this.keys.set(change.set, entry);
        this.history.push({ set: change.set, data: entry.data, mark: this.ledger });
      } else if (this.keys.delete(change.remove))
        this.history.push({ remove: change.remove, mark: this.ledger });
    }
    while (this.history.length > 10_000) this.forgotten = this.history.shift().mark;
    for (const wake of [...this.waiters]) wake();
  }

  unavailable(node) {
    return this.out || this.refused.has(node);
  }

  async handle(node, method, path, query, body, bytes) {
    await sleep(this.latencyMs ?? 2);
    const reply = await this.answer(node, method, path, query, body, bytes);
    // The answer is that of this moment; it may take a while on its way.
    const slowMs = this.slow(node, path, query);
    if (slowMs > 0) await sleep(slowMs);
    return reply;
  }

  async answer(node, method, path, query, body, bytes) {
    if (path === '/changes') return this.changes(node, query);
    if (this.unavailable(node)) return { status: 503, body: { error: 'unavailable' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'over the limit' } };
    if (path === '/multi') return this.transaction(node, body, bytes);
    if (path === '/keys') return this.list(query);
    if (path.startsWith('/keys/')) {
      const key = decodeURIComponent(path.slice(6));
      const entry = this.keys.get(key);
      return entry
        ? { status: 200, body: { key, ...entry } }
        : { status: 404, body: { ledger: this.ledger } };
    }
    if (path === '/leases') {
      const id = this.nextLease++;
      this.leases.set(id, { life: Number(body.life_ms) / 1000, at: now() });
      return { status: 200, body: { tether: id } };
    }
    const [, , text, renew] = path.split('/');
    const lease = this.leases.get(Number(text));
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    if (method === 'DELETE') this.endLease(Number(text));
    else if (renew === 'renew') lease.at = now();
    return { status: 200, body: { tether: Number(text) } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const names = [...this.keys.keys()].filter((key) => key.startsWith(under) && key > since).sort();
    const entries = [];
    let total = 0;
    for (const key of names) {
      const { data, mark } = this.keys.get(key);
      total += size(data) + key.length + 40;
      if (entries.length >= limit || total > 512 * 1024) break;
      entries.push({ key, data, mark });
    }
    return { status: 200, body: { entries, truncated: entries.length < names.length, ledger: this.ledger } };
  }

  async changes(node, query) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since'));
    const until = now() + Number(query.get('wait_ms') ?? 0) / 1000;
    if (!this.unavailable(node) && !this.requests.take(1)) return { status: 429, body: {} };
    if (this.unavailable(node) && until <= now()) return { status: 503, body: {} };
    for (;;) {
      if (!this.unavailable(node)) {
        if (since < this.forgotten) return { status: 410, body: {} };
        const news = this.history.filter(
          (item) => item.mark > since && (item.set ?? item.remove).startsWith(under),
        );
        if (news.length > 0 || now() >= until) {
          return { status: 200, body: { ledger: this.ledger, news } };
        }
      } else if (now() >= until + 60) return { status: 503, body: {} };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(5, Math.min(200, (until - now()) * 1000)));
        this.waiters.add(wake);
      });
    }
  }

  async transaction(node, body, bytes) {
    const conditions = body.if ?? [];
    const changes = body.then ?? [];
    const { txn_ops, value_kb } = this.limits;
    const large = changes.find((c) => c.set !== undefined && size(c.data ?? null) > value_kb * 1024);
    if (changes.length > txn_ops || conditions.length > 4 * txn_ops || large || bytes > 64 * 1024) {
      const why = large
        ? `the value of ${large.set} has ${size(large.data)} bytes, and ${value_kb} KiB are allowed`
        : `${changes.length} changes, ${conditions.length} conditions, ${bytes} bytes`;
      this.refusals.push({ at: now(), node, why });
      if (this.refusals.length <= 20) this.recorder?.note(`state 400 to ${node}: ${why}`);
      return { status: 400, body: { error: why } };
    }
    if (!this.writes.take(changes.length)) return { status: 429, body: { error: 'over the limit' } };
    const fault = this.fault(node, conditions, changes);
    if (fault?.status) return { status: fault.status, body: { error: 'refused' } };
    if (fault?.lateMs) {
      setTimeout(() => this.carryOut(conditions, changes), fault.lateMs);
      return undefined;
    }
    const reply = this.carryOut(conditions, changes);
    return fault?.noAnswer ? undefined : reply;
  }

  carryOut(conditions, changes) {
    for (const change of changes)
      if (change.tether && !this.leases.has(Number(change.tether)))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ key, mark }) => (this.keys.get(key)?.mark ?? 0) !== Number(mark))
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (changes.length > 0) this.apply(changes);
    return { status: 200, body: { ledger: this.ledger } };
  }
}
