/**
 * The loop that persists completions of tasks and jobs, and the pipeline steps that they release. Owns when which of them are due;
 * `completion-transaction.ts` decides what a transaction holds. The cluster state changes only after a commit.
 */
import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep } from '../../transport/clock.js';
import { jitter } from '../../transport/random.js';
import type { ModRevision } from '../../protocol/ids.js';
import type { Job } from '../../cluster/cluster-state.js';
import { Keys, Prefix } from '../../storage/records.js';
import { hasAnswer, type FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';
import { nextCompletionTransaction } from './completion-transaction.js';
import type { CompletionTransaction } from './transaction-part.js';

/** Minimum time between two shared completion records. */
const BATCH_INTERVAL_MS = 1000;
/** The same if some of the tasks are to be placed again. */
const REQUEUE_INTERVAL_MS = 500;
/** Longest wait for a wake-up; the intervals above also elapse without one. */
const MAX_IDLE_MS = 250;
/** Related changes arrive in several heartbeats: after a wake-up the loop waits this long for the rest of them. */
const WAKE_DELAY_MS = 30;
/** Completions arrive in many heartbeats: a delay after each commit makes fewer and fuller transactions. */
const COMMIT_DELAY_MS = 100;
const CONFLICT_DELAY_MS = 30;
const FAILURE_DELAY_MS = 200;

/** Writes completions to the store, one transaction after another, during one leader's term. */
export class CompletionWriter {
  private transactionCount = 0;
  private lastBatchAt = -Infinity;
  private notify: (() => void) | undefined;

  constructor(
    private readonly leader: LeaderContext<CompletionClusterState>,
    private readonly writer: FencedWriter,
  ) {}

  /** Makes the loop look for completions now. */
  wake(): void {
    this.notify?.();
  }

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { clock } = this.leader.dependencies;
    while (this.leader.isActive()) {
      const now = clock.now();
      const transaction = this.nextTransaction(now);
      if (!transaction) {
        await this.waitForWake();
        continue;
      }
      this.transactionCount++;
      if (transaction.writesBatch) this.lastBatchAt = now;
      const mayContinue = await this.commit(transaction);
      if (!mayContinue) return;
    }
  }

  private nextTransaction(now: number): CompletionTransaction | undefined {
    const { dependencies, leadership, cluster } = this.leader;
    if (!cluster || !dependencies.election.canDecide()) return undefined;
    const { txnOps, valueKb } = dependencies.settings.store;
    const sinceBatchMs = now - this.lastBatchAt;
    return nextCompletionTransaction(cluster, {
      txnOps,
      valueKb,
      batchKey: Keys.completionBatch(leadership.term, this.transactionCount + 1),
      batchDue: sinceBatchMs >= BATCH_INTERVAL_MS,
      requeueDue: sinceBatchMs >= REQUEUE_INTERVAL_MS,
      steps: dependencies.pipelines?.beginCompletion(cluster, leadership.term),
    });
  }

  private async waitForWake(): Promise<void> {
    const { clock } = this.leader.dependencies;
    const timer = clock.after(MAX_IDLE_MS, () => this.notify?.());
    await new Promise<void>((resolve) => (this.notify = resolve));
    timer.cancel();
    await sleep(clock, WAKE_DELAY_MS);
  }

  /** Writes the transaction. Returns whether the loop continues: it does not if only a new term can read what the store holds. */
  private async commit(transaction: CompletionTransaction): Promise<boolean> {
    const { clock, random } = this.leader.dependencies;
    const { conditions, changes, completedJobs } = transaction;
    for (const job of completedJobs) job.unansweredWrite = 'completion';
    const outcome = await this.writer.write(conditions, changes, RequestPriority.Completion);
    if (!this.leader.isActive()) return false;
    if (hasAnswer(outcome)) for (const job of completedJobs) job.unansweredWrite = undefined;
    if (!outcome.ok) {
      if (outcome.error.kind === 'unknown') return this.restartTerm('a completion write got no reply');
      await sleep(clock, jitter(random, FAILURE_DELAY_MS));
      return true;
    }
    if (outcome.value.kind === 'conflict') return this.handleConflict(outcome.value.failed, completedJobs);
    this.applyCommitted(transaction, outcome.value.revision as unknown as ModRevision);
    await sleep(clock, COMMIT_DELAY_MS);
    return true;
  }

  private async handleConflict(failed: readonly string[], completedJobs: readonly Job[]): Promise<boolean> {
    const chunkChanged = failed.some((key) => key.startsWith(Prefix.completionChunk));
    // A completion record is not what this leader last wrote or read, so the completed tasks must be read from the store.
    if (chunkChanged && !failed.includes(Keys.leader)) {
      return this.restartTerm('a completion record is not what this leader last wrote or read');
    }
    const recordsRead = this.writer.handleConflict(failed, 'completions');
    // Completed jobs whose records changed are set aside until these are read again; the other jobs need not wait for that.
    const excludedKeys = new Set<string>(completedJobs.map((job) => Keys.job(job.id)));
    if (!failed.every((key) => excludedKeys.has(key))) await recordsRead;
    await sleep(this.leader.dependencies.clock, CONFLICT_DELAY_MS);
    return true;
  }

  private async restartTerm(reason: string): Promise<false> {
    await this.leader.dependencies.election.restartTerm(reason);
    return false;
  }

  private applyCommitted(transaction: CompletionTransaction, modRevision: ModRevision): void {
    transaction.apply(modRevision);
    const { jobs, placementCount } = transaction;
    if (jobs.length > 0) {
      const { log } = this.leader.dependencies;
      log.info('completions-committed', { jobs: jobs.join(' '), tasks: placementCount });
    }
    this.leader.wake();
  }
}
