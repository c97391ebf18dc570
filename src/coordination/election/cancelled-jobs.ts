import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { JobId } from '../../protocol/ids.js';

/** Entries listed for peers; a peer that is further behind reads the rest from the store. */
const MAX_LISTED_JOBS = 16_384;
/** Job ids in one frame between controllers: about 60 KB of the frame's limit of 1 MB. */
export const MAX_CANCELLATIONS_PER_FRAME = 4096;
/** Completed jobs that are remembered: a command delayed by minutes may start one of their tasks again. */
const MAX_COMPLETED_JOBS = 8192;

/** Consecutive entries of a controller's list, numbered `first` to `last`; `complete` where no entry follows. */
export interface CancellationBatch {
  readonly jobs: readonly JobId[];
  readonly first: number;
  readonly last: number;
  readonly complete: boolean;
}

/**
 * The only record in a controller of which jobs are cancelled. It is filled from every source that shows a committed cancellation: job
 * records read by the job cache, this controller's own commits, and peers. It outlives terms and loads of the cluster state, so that
 * every answer to an agent can stop cancelled tasks, also while the state is loading, and a cancellation confirmed to a user here is listed
 * for the peers. Otherwise a leader elected at the start of a store outage would renew leases of cancelled tasks until the
 * outage ends, and a cancellation whose commit was not acknowledged could be known to users but not to the leader.
 */
export class CancelledJobs {
  private readonly knownSince = new Map<JobId, SteadyMs>();
  /** The first element is entry number `droppedEntries + 1`. */
  private readonly entries: JobId[] = [];
  private droppedEntries = 0;
  private readonly completedJobs = new Set<JobId>();
  /** Known jobs that are not in `completedJobs`. */
  private readonly liveJobs = new Set<JobId>();
  /** Called once for each job, when it becomes known. */
  onAdded: (id: JobId) => void = () => undefined;

  constructor(private readonly clock: Clock) {}

  get any(): boolean {
    return this.knownSince.size > 0;
  }

  has(id: JobId): boolean {
    return this.knownSince.has(id);
  }

  /** Returns since when the cancellation is known here; undefined where it isn't. */
  since(id: JobId): SteadyMs | undefined {
    return this.knownSince.get(id);
  }

  jobs(): IterableIterator<JobId> {
    return this.knownSince.keys();
  }

  /** Records a cancellation that is in the store. To be called before it is confirmed to a user. */
  add(id: JobId): void {
    if (this.knownSince.has(id)) return;
    this.knownSince.set(id, this.clock.now());
    this.liveJobs.add(id);
    this.entries.push(id);
    // Drops a thousand at a time: removing them one by one would move the whole list for each new entry.
    if (this.entries.length > MAX_LISTED_JOBS + 1024) {
      this.entries.splice(0, 1024);
      this.droppedEntries += 1024;
    }
    this.onAdded(id);
  }

  /** The job's completion is stored, and its tasks are proven gone. */
  markCompleted(id: JobId): void {
    if (!this.knownSince.has(id)) return;
    this.liveJobs.delete(id);
    this.completedJobs.add(id);
    if (this.completedJobs.size <= MAX_COMPLETED_JOBS) return;
    const oldest = this.completedJobs.values().next().value;
    if (oldest === undefined) return;
    this.completedJobs.delete(oldest);
    this.knownSince.delete(oldest);
  }

  /**
   * Marks as completed the jobs that were known before `syncedAt` and have no record in a job cache synchronized at that time. A restarted
   * controller receives from peers cancellations of jobs whose records were removed before it started. It never sees those removals, and
   * without this each restart would leave thousands of ids for good.
   */
  forgetRemovedJobs(hasRecord: (id: JobId) => boolean, syncedAt: SteadyMs): void {
    for (const id of this.liveJobs)
      if (this.knownSince.get(id)! < syncedAt && !hasRecord(id)) this.markCompleted(id);
  }

  private get lastEntry(): number {
    return this.droppedEntries + this.entries.length;
  }

  /** Returns the entries after number `after`. A caller that knows higher numbers than exist has them from an earlier incarnation, and gets all. */
  entriesAfter(after: number): CancellationBatch {
    const begin = Math.max(after > this.lastEntry ? 0 : after, this.droppedEntries);
    const jobs = this.entries.slice(
      begin - this.droppedEntries,
      begin - this.droppedEntries + MAX_CANCELLATIONS_PER_FRAME,
    );
    const last = begin + jobs.length;
    return { jobs, first: begin + 1, last, complete: last === this.lastEntry };
  }
}
