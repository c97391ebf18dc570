import { serve } from './http.mjs';

const asNumber = (v) => Number(v ?? 0);
const MAX_CHANGES = 10_000;

/** The state service of the protocol page, in memory, with its limits and rates. */
export class StateService {
  constructor(limits) {
    this.limits = limits;
    this.keys = new Map();
    this.leases = new Map();
    this.changes = [];
    this.revision = 0;
    this.nextLease = 1;
    this.waiting = new Set();
    this.requestTokens = limits.rps;
    this.writeTokens = limits.writeRps;
    this.refilledAt = performance.now();
    /** Called after a transaction was carried out; returns how many ms its answer is to take longer. */
    this.answerDelayMs = () => 0;
    /** Called before a transaction: `lost` loses its answer, `late` also carries it out that many ms later. */
    this.troubleOf = () => undefined;
    this.outage = false;
    this.refused = new Set();
    this.counts = { requests: 0, throttled: 0, conflicts: 0, committed: 0, rejected: 0 };
  }

  async start() {
    this.servers = [];
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  /** Returns an address of its own for this controller, so that it can be refused alone. */
  async addressFor(member) {
    const server = await serve((method, path, query, data) => this.handle(method, path, query, data, member));
    this.servers.push(server);
    return server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  isRefused(member) {
    return this.outage || this.refused.has(member);
  }

  setOutage(on) {
    this.outage = on;
    if (on) return;
    for (const lease of this.leases.values()) lease.until = performance.now() + lease.ms;
    this.notify();
  }

  refuse(member, on) {
    if (on) this.refused.add(member);
    else this.refused.delete(member);
    this.notify();
  }

  expireLeases() {
    if (this.outage) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.until < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.keys].filter(([, entry]) => entry.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.notify();
  }

  remove(key) {
    if (this.keys.delete(key)) this.log({ remove: key, mark: this.revision });
  }

  log(change) {
    this.changes.push(change);
    if (this.changes.length > MAX_CHANGES) this.changes.shift();
  }

  notify() {
    const waiting = [...this.waiting];
    this.waiting.clear();
    for (const wake of waiting) wake();
  }

  takeTokens(writes) {
    const now = performance.now();
    const elapsedS = (now - this.refilledAt) / 1000;
    this.refilledAt = now;
    const { rps, writeRps } = this.limits;
    this.requestTokens = Math.min(rps, this.requestTokens + elapsedS * rps);
    this.writeTokens = Math.min(writeRps, this.writeTokens + elapsedS * writeRps);
    if (this.requestTokens < 1 || this.writeTokens < writes) return false;
    this.requestTokens--;
    this.writeTokens -= writes;
    return true;
  }

  async handle(method, path, query, data, member) {
    this.counts.requests++;
    if (this.isRefused(member)) return { status: 503, data: { error: 'unavailable' } };
    const writes = path === '/multi' ? (data?.then ?? []).length : 0;
    if (!this.takeTokens(writes)) {
      this.counts.throttled++;
      return { status: 429, data: { error: 'rate' } };
    }
    if (path === '/multi') {
      const trouble = this.troubleOf(data);
      if (trouble?.late) {
        setTimeout(() => this.transaction(data), trouble.late);
        return undefined;
      }
      const reply = this.transaction(data);
      if (trouble?.lost) return undefined;
      const delayMs = this.answerDelayMs(data, reply);
      if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
      return reply;
    }
    if (path === '/leases') {
      const id = this.nextLease++;
      const ms = asNumber(data.life_ms);
      this.leases.set(id, { until: performance.now() + ms, ms });
      return { status: 200, data: { tether: id } };
    }
    if (path.startsWith('/leases/')) return this.lease(method, path);
    if (path === '/changes') return this.watch(query, member);
    if (path === '/keys') return this.range(query);
    const key = path.slice('/keys/'.length);
    const entry = this.keys.get(key);
    if (!entry) return { status: 404, data: { ledger: this.revision } };
    const tether = entry.lease === undefined ? {} : { tether: entry.lease };
    return { status: 200, data: { key, data: entry.data, mark: entry.mark, ...tether } };
  }

  lease(method, path) {
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, data: { error: 'no such lease' } };
    if (method === 'DELETE') this.endLease(id);
    else lease.until = performance.now() + lease.ms;
    return { status: 200, data: {} };
  }

  range(query) {
    const under = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(1000, Number(query.get('limit') ?? 1000));
    const keys = [...this.keys.keys()].filter((key) => key.startsWith(under) && key > since).sort();
    const entries = keys.slice(0, limit).map((key) => {
      const { data, mark } = this.keys.get(key);
      return { key, data, mark };
    });
    return {
      status: 200,
      data: { entries, truncated: keys.length > entries.length, ledger: this.revision },
    };
  }

  async watch(query, member) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since'));
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (this.changes.length === MAX_CHANGES && since < this.changes[0].mark - 1) return { status: 410 };
      const isRefused = this.isRefused(member);
      const news = isRefused
        ? []
        : this.changes.filter((c) => c.mark > since && (c.set ?? c.remove).startsWith(under));
      const leftMs = isRefused ? 60_000 : until - performance.now();
      if (news.length > 0 || leftMs <= 0) return { status: 200, data: { ledger: this.revision, news } };
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  transaction(data) {
    const reply = this.apply(data);
    if (reply.status === 400) this.counts.rejected++;
    return reply;
  }

  apply(data) {
    const conditions = data.if ?? [];
    const changes = data.then ?? [];
    const { txnOps, valueKb } = this.limits;
    if (changes.length > txnOps || conditions.length > 4 * txnOps) return { status: 400, data: {} };
    const json = JSON.stringify(data, (_, v) => (typeof v === 'bigint' ? Number(v) : v));
    if (json.length > 64 * 1024) return { status: 400, data: { error: 'too large' } };
    for (const change of changes) {
      if (change.tether !== undefined && !this.leases.has(Number(change.tether)))
        return { status: 400, data: { error: 'no such lease' } };
      const text = JSON.stringify(change.data ?? null, (_, v) => (typeof v === 'bigint' ? Number(v) : v));
      if (text.length > valueKb * 1024) return { status: 400, data: { error: 'value too large' } };
    }
    const failed = conditions
      .filter((c) => (this.keys.get(c.key)?.mark ?? 0) !== asNumber(c.mark))
      .map((c) => c.key);
    if (failed.length > 0) {
      this.counts.conflicts++;
      return { status: 409, data: { failed, ledger: this.revision } };
    }
    this.counts.committed++;
    if (changes.length > 0) this.revision++;
    for (const change of changes) {
      if (change.remove !== undefined) this.remove(change.remove);
      else {
        const lease = change.tether === undefined ? undefined : Number(change.tether);
        this.keys.set(change.set, { data: change.data, mark: this.revision, lease });
        this.log({ set: change.set, data: change.data, mark: this.revision });
      }
    }
    this.notify();
    return { status: 200, data: { ledger: this.revision } };
  }

  leader() {
    return this.keys.get('term/holder')?.data.body.member;
  }
}
