/**
 * This node's cache of the records of live jobs, kept up to date by a watch. It only reads from the store; the code that writes a
 * record enters it with `recordWrite`.
 */
import { RequestPriority } from '../transport/rate-limiter.js';
import { sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { Log } from '../transport/log.js';
import { jitter, type Random } from '../transport/random.js';
import { NO_REVISION, type JobId, type ModRevision, type Revision } from '../protocol/ids.js';
import type { StoreEvent } from '../protocol/state.js';
import type { AuxiliaryCache } from './pipeline-cache.js';
import { Prefix, jobIdOfKey, jobRecordSchema, unseal, type JobRecord } from './records.js';
import type { StoreClient } from './store-client.js';

/** A job's record and its mod revision. */
export interface CachedJob {
  readonly record: JobRecord;
  readonly modRevision: ModRevision;
}

/** Is called with each record received from the store; `job` is undefined where the record was removed. */
export type JobListener = (id: JobId, job: CachedJob | undefined, modRevision: ModRevision) => void;

/** How long the service holds a watch without changes. */
const WATCH_MS = 4000;
/** Mean delay before a failed watch is opened again. */
const WATCH_RETRY_MS = 400;
/** Removed records whose revisions are remembered. */
const MAX_TOMBSTONES = 4096;
/** Shares of the service's request rate that one node may use for syncs and for its watch. */
const SYNC_RATE_SHARE = 0.07;
const WATCH_RATE_SHARE = 0.05;
/** Before the first sync, the cache counts as this old. */
const INITIAL_SYNC_AGE_MS = 3_600_000;

/**
 * A cache of the records of all live jobs. `sync` requests every change since the cache's revision; after it, the cache is at
 * least as new as anything that any node had told a user when `sync` was called.
 */
export class JobCache {
  private readonly jobs = new Map<JobId, CachedJob>();
  /** Revisions at which records were removed: two answers may arrive in the wrong order. */
  private readonly removed = new Map<JobId, ModRevision>();
  private revision: Revision | undefined;
  private readonly syncIntervalMs: number;
  private readonly watchPauseMs: number;
  private lastSyncAt = -Infinity;
  private syncIsDelayed = false;
  /** Jobs whose records could not be decoded; loading the cluster state from this cache must take them into account. */
  readonly unreadableJobs = new Set<JobId>();
  private currentSync: Promise<boolean> | undefined;
  private nextSync: Promise<boolean> | undefined;
  /** Everything that was in the store at this time is in the cache. */
  syncedAt: SteadyMs;
  private listener: JobListener | undefined;

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    /** The state service's request rate, of which all nodes' caches may use only a small part. */
    requestsPerSecond: number,
  ) {
    this.syncIntervalMs = 1000 / (SYNC_RATE_SHARE * requestsPerSecond);
    this.watchPauseMs = 1000 / (WATCH_RATE_SHARE * requestsPerSecond);
    this.syncedAt = (clock.now() - INITIAL_SYNC_AGE_MS) as SteadyMs;
  }

  /** Receives the keys under the jobs' prefix that are not job records. */
  auxiliaryCache: AuxiliaryCache | undefined;

  /** Is notified of jobs whose records say that they are cancelled, and of jobs whose records were removed. */
  cancellations: { add(id: JobId): void; markCompleted(id: JobId): void } | undefined;

  /** Sets the listener for changes from now on; undefined removes it. */
  setListener(listener: JobListener | undefined): void {
    this.listener = listener;
  }

  /** Returns the job's record as cached. */
  get(id: JobId): CachedJob | undefined {
    return this.jobs.get(id);
  }

  /**
   * Enters a record that this node itself just wrote, which need not be read or checked again. A write that the cache has reached by
   * now is in it already, or has been replaced or removed since.
   */
  recordWrite(id: JobId, record: JobRecord, modRevision: ModRevision): void {
    const isReached = modRevision <= this.appliedRevision;
    if (!isReached && modRevision > this.knownRevision(id)) this.jobs.set(id, { record, modRevision });
  }

  private knownRevision(id: JobId): ModRevision {
    return this.jobs.get(id)?.modRevision ?? this.removed.get(id) ?? NO_REVISION;
  }

  /** Records from other nodes that were decoded and checked; tests check that this stays low. */
  recordsDecoded = 0;

  /** All live jobs. */
  entries(): IterableIterator<[JobId, CachedJob]> {
    return this.jobs.entries();
  }

  /** The revision up to which all changes are in the cache; 0 before it was filled. */
  get appliedRevision(): ModRevision {
    return (this.revision ?? NO_REVISION) as ModRevision;
  }

  /** Whether the cache was ever filled. */
  get loaded(): boolean {
    return this.revision !== undefined;
  }

  /**
   * Brings the cache up to the time of this call; the result says whether the store answered. Calls made while a request is in
   * flight share the next request, never one that was sent before them.
   */
  sync(): Promise<boolean> {
    // The request has not been sent yet, so its answer will be newer than this call.
    if (this.currentSync && this.syncIsDelayed) return this.currentSync;
    if (!this.currentSync) {
      this.currentSync = this.syncOnce().finally(() => (this.currentSync = undefined));
      return this.currentSync;
    }
    this.nextSync ??= this.currentSync.then(() => {
      this.nextSync = undefined;
      return this.sync();
    });
    return this.nextSync;
  }

  private async syncOnce(): Promise<boolean> {
    // Calls made before this request is sent share it, so that hundreds of users polling at once cost no more requests than a
    // few. Otherwise the polls alone would throttle the service, lease renewals included.
    const waitMs = this.lastSyncAt + this.syncIntervalMs - this.clock.now();
    if (waitMs > 0) {
      this.syncIsDelayed = true;
      await sleep(this.clock, waitMs);
      this.syncIsDelayed = false;
    }
    this.lastSyncAt = this.clock.now();
    const sentAt = this.clock.now();
    if (this.revision === undefined) return this.reload(sentAt);
    const changes = await this.store.changes(Prefix.job, this.revision, 0, RequestPriority.User);
    if (!changes.ok) return changes.error.kind === 'gone' ? this.reload(sentAt) : false;
    this.apply(changes.value.events, changes.value.revision, sentAt);
    return true;
  }

  private async reload(sentAt: SteadyMs): Promise<boolean> {
    const range = await this.store.range(Prefix.job, RequestPriority.User);
    if (!range.ok) return false;
    const { entries, revision } = range.value;
    const readAt = revision as unknown as ModRevision;
    const present = new Set<string>();
    for (const entry of entries) {
      present.add(entry.key);
      this.put(entry.key, entry.value, entry.modRevision);
    }
    for (const [id, known] of this.jobs) {
      if (!present.has(Prefix.job + id) && known.modRevision <= readAt) this.remove(id, readAt);
    }
    for (const id of this.unreadableJobs) {
      if (!present.has(Prefix.job + id)) this.unreadableJobs.delete(id);
    }
    this.auxiliaryCache?.reloaded(present, readAt);
    this.advance(revision, sentAt);
    this.log.info('job-cache-loaded', { rows: this.jobs.size });
    return true;
  }

  private apply(events: readonly StoreEvent[], revision: Revision, sentAt: SteadyMs): void {
    for (const event of events) {
      if (event.op === 'put') this.put(event.key, event.value, event.modRevision);
      else this.removeKey(event.key, event.modRevision);
    }
    this.advance(revision, sentAt);
  }

  private advance(revision: Revision, sentAt: SteadyMs): void {
    if (this.revision === undefined || revision > this.revision) this.revision = revision;
    if (sentAt > this.syncedAt) this.syncedAt = sentAt;
  }

  private put(key: string, value: unknown, modRevision: ModRevision): void {
    const id = jobIdOfKey(key);
    if (id === undefined) return this.auxiliaryCache?.put(key, value, modRevision);
    if (modRevision <= this.knownRevision(id)) return;
    this.recordsDecoded++;
    const record = unseal(jobRecordSchema, value);
    if (!record.ok) {
      this.log.error('job-record-unreadable', { job: id, why: record.error });
      this.unreadableJobs.add(id);
      return;
    }
    const job = { record: record.value, modRevision };
    this.jobs.set(id, job);
    this.unreadableJobs.delete(id);
    this.removed.delete(id);
    if (record.value.state === 'cancelled') this.cancellations?.add(id);
    this.listener?.(id, job, modRevision);
  }

  private removeKey(key: string, modRevision: ModRevision): void {
    const id = jobIdOfKey(key);
    if (id === undefined) this.auxiliaryCache?.remove(key, modRevision);
    else this.remove(id, modRevision);
  }

  private remove(id: JobId, modRevision: ModRevision): void {
    if (modRevision <= this.knownRevision(id)) return;
    this.jobs.delete(id);
    this.unreadableJobs.delete(id);
    this.cancellations?.markCompleted(id);
    this.removed.set(id, modRevision);
    if (this.removed.size > MAX_TOMBSTONES) {
      const oldest = this.removed.keys().next().value;
      if (oldest !== undefined) this.removed.delete(oldest);
    }
    this.listener?.(id, undefined, modRevision);
  }

  /** Keeps the cache up to date at all times, with one open watch whose events are applied in batches. */
  async watch(): Promise<never> {
    for (;;) {
      if (this.revision === undefined) {
        if (!(await this.sync())) await sleep(this.clock, jitter(this.random, WATCH_RETRY_MS));
        continue;
      }
      const sentAt = this.clock.now();
      const changes = await this.store.changes(Prefix.job, this.revision, WATCH_MS, RequestPriority.User);
      if (changes.ok) {
        this.apply(changes.value.events, changes.value.revision, sentAt);
        await sleep(this.clock, this.watchPauseMs);
      } else if (changes.error.kind === 'gone') {
        await this.sync();
      } else {
        await sleep(this.clock, jitter(this.random, WATCH_RETRY_MS));
      }
    }
  }
}
