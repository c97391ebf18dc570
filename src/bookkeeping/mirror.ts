import { Rank } from '../transport/budget.js';
import { sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { Log } from '../transport/log.js';
import { jitter, type Random } from '../transport/random.js';
import { NO_MARK, type JobId, type Mark, type Revision } from '../protocol/ids.js';
import type { StoreEvent } from '../protocol/state.js';
import type { MirrorGuest } from './pipeline-book.js';
import { Prefix, rowSchema, unseal, type Row } from './records.js';
import type { Store } from './store.js';

export interface MirroredRow {
  readonly row: Row;
  readonly mark: Mark;
}

/** All jobs' ids begin alike, and nothing else under their prefix does. */
const isRow = (key: string): boolean => key.startsWith('req-', Prefix.job.length);

const WATCH_MS = 4000;
const TOMBSTONES = 4096;
/** Shares of the service's request rate that one node may take for questions and for its watch. */
const SYNC_SHARE = 0.07;
const WATCH_SHARE = 0.05;

/**
 * A copy of all live rows. `sync` asks the store for every change since the copy's revision; an answer given
 * after it is at least as new as anything any node had told a user when the question came in.
 */
export class Mirror {
  private readonly rows = new Map<JobId, MirroredRow>();
  /** Marks of removed rows: two answers may come in the wrong order. */
  private readonly removed = new Map<JobId, Mark>();
  private revision: Revision | undefined;
  private readonly syncGapMs: number;
  private readonly watchGapMs: number;
  private lastSync = -Infinity;
  private waiting = false;
  /** Rows that could not be read; who loads the world from this copy must know of them. */
  readonly unreadable = new Set<JobId>();
  private current: Promise<boolean> | undefined;
  private next: Promise<boolean> | undefined;
  /** Everything that was in the store at this time is in the copy. */
  syncedAt: SteadyMs;
  private listener: ((id: JobId, row: MirroredRow | undefined, mark: Mark) => void) | undefined;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    /** The state service's request rate, of which all nodes' copies may take a small part only. */
    rps: number,
  ) {
    this.syncGapMs = 1000 / (SYNC_SHARE * rps);
    this.watchGapMs = 1000 / (WATCH_SHARE * rps);
    this.syncedAt = (clock.now() - 3_600_000) as SteadyMs;
  }

  /** Who is given the keys under the rows' prefix that are no rows. */
  guest: MirrorGuest | undefined;

  /** Who is told of rows that say they are cancelled, and of those that were removed. */
  cancelled: { note(id: JobId): void; ended(id: JobId): void } | undefined;

  listen(listener: ((id: JobId, row: MirroredRow | undefined, mark: Mark) => void) | undefined): void {
    this.listener = listener;
  }

  get(id: JobId): MirroredRow | undefined {
    return this.rows.get(id);
  }

  /** What this node itself just wrote, and so needs neither to read nor to check again. */
  wrote(id: JobId, row: Row, mark: Mark): void {
    const known = this.rows.get(id)?.mark ?? this.removed.get(id) ?? NO_MARK;
    if (mark > known) this.rows.set(id, { row, mark });
  }

  /** Rows from elsewhere that were checked; for the tests that keep this small. */
  checked = 0;

  entries(): IterableIterator<[JobId, MirroredRow]> {
    return this.rows.entries();
  }

  get loaded(): boolean {
    return this.revision !== undefined;
  }

  /** Requests that come while one is on its way share the following one: never one that left before them. */
  sync(): Promise<boolean> {
    // Not on its way yet: it will be newer than this question.
    if (this.current && this.waiting) return this.current;
    if (!this.current) {
      this.current = this.syncOnce().finally(() => (this.current = undefined));
      return this.current;
    }
    this.next ??= this.current.then(() => {
      this.next = undefined;
      return this.sync();
    });
    return this.next;
  }

  private async syncOnce(): Promise<boolean> {
    // Questions that come before this one leaves share it, so that hundreds of users polling at once cost no
    // more requests than a few: without this the polls alone throttle the service, leases and all.
    const wait = this.lastSync + this.syncGapMs - this.clock.now();
    if (wait > 0) {
      this.waiting = true;
      await sleep(this.clock, wait);
      this.waiting = false;
    }
    this.lastSync = this.clock.now();
    const sent = this.clock.now();
    if (this.revision === undefined) return this.reload(sent);
    const changes = await this.store.changes(Prefix.job, this.revision, 0, Rank.User);
    if (!changes.ok) return changes.error.kind === 'gone' ? this.reload(sent) : false;
    this.apply(changes.value.events, changes.value.revision, sent);
    return true;
  }

  private async reload(sent: SteadyMs): Promise<boolean> {
    const range = await this.store.range(Prefix.job, Rank.User);
    if (!range.ok) return false;
    const present = new Set<string>();
    for (const e of range.value.entries) {
      present.add(e.key);
      this.put(e.key, e.value, e.mark);
    }
    for (const [id, known] of this.rows) {
      if (!present.has(Prefix.job + id) && known.mark <= range.value.revision) {
        this.remove(id, range.value.revision as unknown as Mark);
      }
    }
    this.guest?.reloaded(present, range.value.revision as unknown as Mark);
    this.advance(range.value.revision, sent);
    this.log.info('mirror-loaded', { rows: this.rows.size });
    return true;
  }

  private apply(events: readonly StoreEvent[], revision: Revision, sent: SteadyMs): void {
    for (const e of events) {
      if (e.op === 'put') this.put(e.key, e.value, e.mark);
      else if (isRow(e.key)) this.remove(e.key.slice(Prefix.job.length) as JobId, e.mark);
      else this.guest?.remove(e.key, e.mark);
    }
    this.advance(revision, sent);
  }

  private advance(revision: Revision, sent: SteadyMs): void {
    if (this.revision === undefined || revision > this.revision) this.revision = revision;
    if (sent > this.syncedAt) this.syncedAt = sent;
  }

  private put(key: string, value: unknown, mark: Mark): void {
    if (!isRow(key)) return this.guest?.put(key, value, mark);
    const id = key.slice(Prefix.job.length) as JobId;
    const known = this.rows.get(id)?.mark ?? this.removed.get(id) ?? NO_MARK;
    if (mark <= known) return;
    this.checked++;
    const row = unseal(rowSchema, value);
    if (!row.ok) {
      this.log.error('row-unreadable', { job: id, why: row.error });
      this.unreadable.add(id);
      return;
    }
    const mirrored = { row: row.value, mark };
    this.rows.set(id, mirrored);
    this.unreadable.delete(id);
    this.removed.delete(id);
    if (row.value.state === 'cancelled') this.cancelled?.note(id);
    this.listener?.(id, mirrored, mark);
  }

  private remove(id: JobId, mark: Mark): void {
    const known = this.rows.get(id)?.mark ?? this.removed.get(id) ?? NO_MARK;
    if (mark <= known) return;
    this.rows.delete(id);
    this.unreadable.delete(id);
    this.cancelled?.ended(id);
    this.removed.set(id, mark);
    if (this.removed.size > TOMBSTONES) {
      const oldest = this.removed.keys().next().value;
      if (oldest !== undefined) this.removed.delete(oldest);
    }
    this.listener?.(id, undefined, mark);
  }

  /** Keeps the copy near the store at all times: one open watch, its news applied in bunches. */
  async watch(): Promise<never> {
    for (;;) {
      if (this.revision === undefined) {
        if (!(await this.sync())) await sleep(this.clock, jitter(this.random, 400));
        continue;
      }
      const sent = this.clock.now();
      const changes = await this.store.changes(Prefix.job, this.revision, WATCH_MS, Rank.User);
      if (changes.ok) {
        this.apply(changes.value.events, changes.value.revision, sent);
        await sleep(this.clock, this.watchGapMs);
      } else if (changes.error.kind === 'gone') {
        await this.sync();
      } else {
        await sleep(this.clock, jitter(this.random, 400));
      }
    }
  }
}
