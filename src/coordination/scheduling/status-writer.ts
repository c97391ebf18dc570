import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type SteadyMs } from '../../transport/clock.js';
import type { ModRevision } from '../../protocol/ids.js';
import { Keys, seal, withMinimumGeneration, type JobRecord } from '../../storage/records.js';
import { mayWriteJob, type Job } from '../../cluster/cluster-state.js';
import type { SchedulingClusterState } from '../leader/cluster-state-views.js';
import type { FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';

/** How long a job runs before its record is updated: many jobs have ended by then, and their records are gone. */
const STATUS_DELAY_MS = 1500;

/** How often it is checked which records are due. */
const CHECK_INTERVAL_MS = STATUS_DELAY_MS / 2;

/**
 * Updates the records of jobs that have started to say that they run. The status is shown to users and no decision
 * depends on it. It is written late and at the lowest priority, because in a burst every write is needed for scheduling.
 */
export class StatusWriter {
  constructor(
    private readonly context: LeaderContext<SchedulingClusterState>,
    private readonly writer: FencedWriter,
  ) {}

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { clock, election } = this.context.dependencies;
    while (this.context.isActive()) {
      await sleep(clock, CHECK_INTERVAL_MS);
      const { cluster } = this.context;
      if (!cluster || !this.context.isActive() || !election.canDecide()) continue;
      const due = this.takeDue(cluster, clock.now());
      if (due.length > 0) await this.write(cluster, due);
    }
  }

  /**
   * Jobs whose status is due, oldest first, as many as one transaction takes. Jobs that have ended are removed
   * from the pending ones.
   */
  private takeDue(cluster: SchedulingClusterState, now: SteadyMs): Job[] {
    const { txnOps } = this.context.dependencies.settings.store;
    const due: Job[] = [];
    for (const [job, since] of cluster.pendingStatus) {
      if (due.length >= txnOps || now - since < STATUS_DELAY_MS) break;
      if (job.cancelledAt !== undefined || cluster.jobs.get(job.id) !== job)
        cluster.pendingStatus.delete(job);
      else if (mayWriteJob(job)) due.push(job);
    }
    return due;
  }

  private async write(cluster: SchedulingClusterState, jobs: readonly Job[]): Promise<void> {
    const records = jobs.map((job) => this.recordOf(job));
    const outcome = await this.writer.write(
      jobs.map((job) => ({ key: Keys.job(job.id), modRevision: job.modRevision })),
      jobs.map((job, i) => ({ op: 'put', key: Keys.job(job.id), value: seal(records[i]) })),
      RequestPriority.GarbageCollection,
    );
    if (!this.context.isActive() || !outcome.ok) return;
    if (outcome.value.kind === 'conflict')
      return this.writer.handleConflict(outcome.value.failed, 'status updates');
    const modRevision = outcome.value.revision as unknown as ModRevision;
    jobs.forEach((job, i) => {
      cluster.pendingStatus.delete(job);
      this.applyWrite(job, records[i]!, modRevision);
    });
  }

  private recordOf(job: Job): JobRecord {
    return {
      ...job.record,
      state: job.hasStarted ? 'running' : job.record.state,
      term: this.context.leadership.term,
      done: job.done.count,
    };
  }

  /**
   * A cancellation may have been written and observed between this commit and its answer; the newer record is then kept.
   */
  private applyWrite(job: Job, record: JobRecord, modRevision: ModRevision): void {
    if (modRevision < job.modRevision) return;
    job.modRevision = modRevision;
    job.record = withMinimumGeneration(record, job.record.generation);
    this.context.dependencies.jobCache.recordWrite(job.id, job.record, modRevision);
  }
}
