/**
 * The loop that removes records that are no longer needed, and writes hints. All its writes have the lowest priority, so they wait
 * for all others; none of them is needed for correctness.
 */
import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep } from '../../transport/clock.js';
import { Keys } from '../../storage/records.js';
import type { FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';
import { CachedImageWriter } from './cached-image-writer.js';

const INTERVAL_MS = 1000;
/** The interval while there is much to remove. */
const BACKLOG_INTERVAL_MS = 200;

/** Removes garbage during one leader's term. */
export class GarbageCollector {
  private readonly imageWriter: CachedImageWriter;

  constructor(
    private readonly leader: LeaderContext<CompletionClusterState>,
    private readonly writer: FencedWriter,
  ) {
    this.imageWriter = new CachedImageWriter(leader, writer);
  }

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { clock, election } = this.leader.dependencies;
    let hasBacklog = false;
    while (this.leader.isActive()) {
      await sleep(clock, hasBacklog ? BACKLOG_INTERVAL_MS : INTERVAL_MS);
      const { cluster } = this.leader;
      if (!cluster || !this.leader.isActive() || !election.canDecide()) continue;
      removeClosedPlans(cluster);
      await this.imageWriter.writeIfDue(cluster);
      await this.removeAbandonedAcceptance();
      hasBacklog = await this.removeGarbage(cluster);
    }
  }

  /** Removes as many keys as fit in one transaction. Returns whether many are left. */
  private async removeGarbage(cluster: CompletionClusterState): Promise<boolean> {
    const { garbage } = cluster;
    const keys = [...garbage].slice(0, this.leader.dependencies.settings.store.txnOps);
    const hasBacklog = garbage.size > 2 * keys.length;
    if (keys.length === 0) return hasBacklog;
    const removals = keys.map((key) => ({ op: 'delete', key }) as const);
    const outcome = await this.writer.write([], removals, RequestPriority.GarbageCollection);
    // Deletion is idempotent: after a lost reply the keys are simply deleted again.
    if (outcome.ok && outcome.value.kind === 'committed') for (const key of keys) garbage.delete(key);
    return hasBacklog;
  }

  /** Removes what an interrupted acceptance of a pipeline left in the store. */
  private async removeAbandonedAcceptance(): Promise<void> {
    const { pipelines, settings, log, jobCache } = this.leader.dependencies;
    const abandoned = pipelines?.findAbandonedAcceptance(settings.store.txnOps);
    if (!abandoned) return;
    const { conditions, changes, pipeline } = abandoned;
    const outcome = await this.writer.write(conditions, changes, RequestPriority.GarbageCollection);
    if (!outcome.ok) return;
    if (outcome.value.kind === 'committed') log.info('acceptance-collected', { pipeline });
    else await jobCache.sync();
  }
}

/** Moves plans whose tasks have all ended, and are persisted as ended, to the garbage. */
function removeClosedPlans(cluster: CompletionClusterState): void {
  for (const plan of cluster.plans.values()) {
    if (plan.openTasks <= 0) cluster.removePlan(plan, [Keys.plan(plan.id), Keys.receipt(plan.id)]);
  }
}
