import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { err, ok, type Result } from '../../transport/result.js';
import type { Attempt, ImageName, JobId, PlanId, StoreKey, Term } from '../../protocol/ids.js';
import {
  completionChunkSchema,
  completionBatchSchema,
  cachedImagesSchema,
  parseIndexRanges,
  Keys,
  Prefix,
  decodePlan,
  planReceiptSchema,
  unseal,
  withMinimumGeneration,
  type PlanGroup,
  type RequeuedTasks,
} from '../../storage/records.js';
import type { StoreEntry } from '../../protocol/state.js';
import type { JobCache, CachedJob } from '../../storage/job-cache.js';
import { RETRY_DELAY_MS, type StoreClient } from '../../storage/store-client.js';
import { ClusterState, type Job } from '../../cluster/cluster-state.js';

/** Converts a wall-clock time to the steady clock. Used only for ages that order jobs or limit waits. */
export const steadyTimeOf = (clock: Clock, wallTimeMs: number): SteadyMs =>
  (clock.now() - Math.max(0, clock.wall() - wallTimeMs)) as SteadyMs;

/** All records that a cluster state is rebuilt from, as of a term. */
interface LoadedRecords {
  readonly jobs: readonly CachedJob[];
  readonly completionChunks: readonly StoreEntry[];
  readonly completionBatches: readonly StoreEntry[];
  readonly plans: readonly StoreEntry[];
  readonly receipts: readonly StoreEntry[];
  /** Undefined where they could not be read: they are only hints. */
  readonly cachedImages: readonly StoreEntry[] | undefined;
}

/** Tasks of one plan that went back to waiting, by job, and the completion batches that say so. */
interface ReturnedTasks {
  readonly indicesByJob: Map<JobId, number[]>;
  readonly batchKeys: Set<StoreKey>;
}

/**
 * Rebuilds the cluster state from job records, completion records, plans, receipts and revisions. They are read in pages of 128 after
 * the election, when no earlier leader can change them any more. Every task of a committed plan that is neither done nor
 * returned is possibly running on its machine until that machine sends a heartbeat.
 */
export async function loadClusterState(
  store: StoreClient,
  jobCache: JobCache,
  clock: Clock,
  log: Log,
  term: Term,
  shouldContinue: () => boolean,
): Promise<Result<ClusterState, string>> {
  const now = clock.now();
  const records = await readRecords(store, jobCache, clock, shouldContinue);
  if (!records.ok) return records;
  const builder = new ClusterStateBuilder(jobCache, clock, log, term, now);
  return ok(builder.build(records.value));
}

async function readRecords(
  store: StoreClient,
  jobCache: JobCache,
  clock: Clock,
  shouldContinue: () => boolean,
): Promise<Result<LoadedRecords, string>> {
  const read = (prefix: string) => store.range(prefix, RequestPriority.Completion, shouldContinue);
  const [jobs, completionChunks, completionBatches, plans, receipts, cachedImages] = await Promise.all([
    currentJobRecords(jobCache, clock, shouldContinue),
    read(Prefix.completionChunk),
    read(Prefix.completionBatch),
    read(Prefix.plan),
    read(Prefix.receipt),
    read(Prefix.cachedImages),
  ]);
  if (!jobs) return err('job records could not be read from the store');
  for (const range of [completionChunks, completionBatches, plans, receipts])
    if (!range.ok) return err(range.error.why);
  if (!completionChunks.ok || !completionBatches.ok || !plans.ok || !receipts.ok)
    return err('store unreachable');
  return ok({
    jobs,
    completionChunks: completionChunks.value.entries,
    completionBatches: completionBatches.value.entries,
    plans: plans.value.entries,
    receipts: receipts.value.entries,
    cachedImages: cachedImages.ok ? cachedImages.value.entries : undefined,
  });
}

/** Builds one cluster state. The methods run in the order of `build`: each relies on what those before it have entered. */
class ClusterStateBuilder {
  private readonly cluster: ClusterState;
  private readonly returnedTasks = new Map<PlanId, ReturnedTasks>();
  private readonly checksums = new Map<PlanId, string>();
  /** While any record is unreadable, no completion batch is removed: it may refer to that record and help to repair it. */
  private hasUnreadableRecords: boolean;

  constructor(
    private readonly jobCache: JobCache,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly term: Term,
    private readonly now: SteadyMs,
  ) {
    this.cluster = new ClusterState(term);
    this.hasUnreadableRecords = jobCache.unreadableJobs.size > 0;
  }

  build(records: LoadedRecords): ClusterState {
    const { cluster, log, term } = this;
    for (const entry of records.cachedImages ?? []) this.addCachedImages(entry);
    for (const cached of records.jobs) this.addJob(cached);
    for (const entry of records.completionChunks) this.addCompletionChunk(entry);
    for (const entry of records.completionBatches) this.addCompletionBatch(entry);
    for (const entry of records.receipts) this.addReceipt(entry);
    for (const entry of records.plans) this.addPlan(entry);
    this.endTasksOfEarlierEpochs();
    this.stopCancelledTasks();
    this.collectGarbage(records.completionBatches);
    log.info('cluster-state-loaded', {
      term,
      jobs: cluster.jobs.size,
      plans: cluster.plans.size,
      machines: cluster.machines.size,
      garbage: cluster.garbage.size,
    });
    return cluster;
  }

  private addCachedImages({ key, value }: StoreEntry): void {
    const { garbage, rememberedImages } = this.cluster;
    const record = unseal(cachedImagesSchema, value);
    if (!record.ok) {
      garbage.add(key);
      return;
    }
    for (const cached of record.value.images) {
      const image = { name: cached.name as ImageName, gb: cached.gb };
      for (const id of cached.on) {
        const images = rememberedImages.get(id);
        if (images) images.push(image);
        else rememberedImages.set(id, [image]);
      }
    }
  }

  private addJob({ record, modRevision }: CachedJob): void {
    const { cluster, clock } = this;
    const cancelledAt =
      record.state === 'cancelled' ? steadyTimeOf(clock, record.cancelledAt ?? clock.wall()) : undefined;
    cluster.addJob(record, modRevision, steadyTimeOf(clock, record.acceptedAt), cancelledAt);
  }

  private addCompletionChunk({ key, value, modRevision }: StoreEntry): void {
    const { cluster, jobCache, log } = this;
    const [id, chunk] = key.slice(Prefix.completionChunk.length).split('/') as [JobId, string];
    const job = cluster.jobs.get(id);
    const record = unseal(completionChunkSchema, value);
    if (!job) {
      // A job whose record is unreadable still exists, so its completion records are kept.
      if (!jobCache.unreadableJobs.has(id)) cluster.garbage.add(key);
    } else if (!record.ok) log.error('completion-record-unreadable', { key, why: record.error });
    else {
      job.done.loadChunk(Number(chunk), record.value.bits);
      job.completionChunks.set(Number(chunk), modRevision);
    }
  }

  private addCompletionBatch({ key, value }: StoreEntry): void {
    const { cluster, log } = this;
    const batch = unseal(completionBatchSchema, value);
    if (!batch.ok) {
      // Its tasks count as not done, or as possibly running, which is safe.
      log.error('completion-record-unreadable', { key, why: batch.error });
      this.hasUnreadableRecords = true;
      return;
    }
    for (const entry of batch.value.done) {
      const job = cluster.jobs.get(entry.job);
      if (!job) continue;
      for (const index of parseIndexRanges(entry.tasks)) job.done.add(index);
      cluster.referenceBatchFromJob(job, key);
    }
    for (const entry of batch.value.returned) this.addReturnedTasks(entry, key);
  }

  private addReturnedTasks({ plan, job, tasks }: RequeuedTasks, batchKey: StoreKey): void {
    let returned = this.returnedTasks.get(plan);
    if (!returned)
      this.returnedTasks.set(plan, (returned = { indicesByJob: new Map(), batchKeys: new Set() }));
    returned.batchKeys.add(batchKey);
    returned.indicesByJob.set(job, [...(returned.indicesByJob.get(job) ?? []), ...parseIndexRanges(tasks)]);
  }

  private addReceipt({ key, value }: StoreEntry): void {
    const { cluster, log, checksums } = this;
    const receipt = unseal(planReceiptSchema, value);
    if (!receipt.ok) {
      log.error('receipt-unreadable', { key, why: receipt.error });
      return;
    }
    checksums.set(receipt.value.plan, receipt.value.sum);
    for (const claim of receipt.value.claims) {
      const job = cluster.jobs.get(claim.job);
      if (job) job.record = withMinimumGeneration(job.record, claim.generation, claim.width);
    }
  }

  private addPlan({ key, value }: StoreEntry): void {
    const { cluster, log } = this;
    const decoded = decodePlan(value);
    if (!decoded.ok) {
      log.error('plan-unreadable', { key, why: decoded.error });
      this.hasUnreadableRecords = true;
      return;
    }
    const { plan, sum } = decoded.value;
    const { id } = plan;
    if (this.checksums.get(id) !== sum) {
      // The plan has the id of a committed one but another payload: it is never executed, and always logged.
      log.error('plan-receipt-mismatched', { plan: id });
      return;
    }
    const returned = this.returnedTasks.get(id);
    const state = { id, openTasks: 0, completionBatches: new Set<StoreKey>() };
    cluster.plans.set(id, state);
    for (const batchKey of returned?.batchKeys ?? []) cluster.referenceBatchFromPlan(state, batchKey);
    for (const part of plan.jobs) {
      const job = cluster.jobs.get(part.job);
      if (!job) continue;
      const returnedIndices = new Set(returned?.indicesByJob.get(part.job) ?? []);
      for (const group of part.on)
        replayGroup(cluster, job, id, part.attempt, group, returnedIndices, this.now);
    }
  }

  /** A later plan names a later agent epoch: tasks of earlier epochs are gone. */
  private endTasksOfEarlierEpochs(): void {
    const { cluster, now } = this;
    for (const machine of cluster.machines.values()) {
      for (const placement of machine.placements)
        if (placement.agentEpoch < machine.agentEpoch) cluster.endPlacement(placement, 'gone', now);
    }
  }

  /** The earlier leader may have ended before it sent the stops to the agents. */
  private stopCancelledTasks(): void {
    const { cluster, now } = this;
    for (const job of cluster.jobs.values()) {
      if (job.cancelledAt === undefined) continue;
      for (const placement of job.placements.values()) cluster.requestStop(placement, 0, 'cancelled', now);
    }
  }

  /** Plans whose tasks are all over, and then the completion batches that nothing refers to. */
  private collectGarbage(completionBatches: readonly StoreEntry[]): void {
    const { cluster } = this;
    for (const plan of [...cluster.plans.values()]) {
      if (plan.openTasks <= 0) cluster.removePlan(plan, [Keys.plan(plan.id), Keys.receipt(plan.id)]);
    }
    if (this.hasUnreadableRecords) return;
    for (const { key } of completionBatches) {
      if (!cluster.completionBatchReferences.has(key)) cluster.garbage.add(key);
    }
  }
}

/**
 * Returns the job records as of this term: the job cache, synchronized by a request to the store that is sent after the election. Reading
 * and validating all records a second time would be most of the loading time of a restarted controller.
 */
async function currentJobRecords(
  jobCache: JobCache,
  clock: Clock,
  shouldContinue: () => boolean,
): Promise<readonly CachedJob[] | undefined> {
  while (!(await jobCache.sync())) {
    if (!shouldContinue()) return undefined;
    await sleep(clock, RETRY_DELAY_MS);
  }
  return [...jobCache.entries()].map(([, cached]) => cached);
}

/** Adds the placements of one plan's tasks on one machine that are neither done nor returned. */
function replayGroup(
  cluster: ClusterState,
  job: Job,
  plan: PlanId,
  attempt: Attempt,
  group: PlanGroup,
  returnedIndices: ReadonlySet<number>,
  now: SteadyMs,
): void {
  const remaining = parseIndexRanges(group.tasks).filter(
    (index) => !returnedIndices.has(index) && !job.done.has(index),
  );
  // All tasks are completed or returned: the machine may be gone since and must not count as capacity.
  // A load can meet two hundred such machines.
  if (remaining.length === 0) return;
  let machine = cluster.machines.get(group.machine);
  if (!machine) {
    machine = cluster.addMachine(group.machine, group.type, group.zone, group.spot, now, now);
    machine.state = 'up';
  }
  if (group.session > machine.agentEpoch) machine.agentEpoch = group.session;
  for (const index of remaining) {
    const older = job.placements.get(index);
    if (older) {
      // Plans are read in commit order: the later one was made with proof that the older placement was gone.
      const olderPlan = cluster.plans.get(older.plan);
      if (olderPlan) olderPlan.openTasks--;
      cluster.discardPlacement(older);
    }
    cluster.addPlacement(job, index, attempt, machine, group.session, plan, now);
    cluster.plans.get(plan)!.openTasks++;
  }
}
