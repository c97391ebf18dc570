import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type SteadyMs } from '../../transport/clock.js';
import { jitter } from '../../transport/random.js';
import type { AgentEpoch, Attempt, ModRevision, PlanId } from '../../protocol/ids.js';
import type { Change, Condition } from '../../protocol/state.js';
import {
  attemptOf,
  Keys,
  planId,
  seal,
  withMinimumGeneration,
  type GenerationClaim,
} from '../../storage/records.js';
import type { StoreFailure } from '../../storage/store-client.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import type { CommandDispatcher } from '../dispatch/command-dispatcher.js';
import type { SchedulingClusterState } from '../leader/cluster-state-views.js';
import { hasAnswer, type FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';
import { buildPlan } from './plan-builder.js';
import type { PlannedTask } from './snapshot.js';

/**
 * Changes that one commit writes: the plan and its receipt. The receipt claims the records of the plan's
 * jobs.
 */
export const CHANGES_PER_COMMIT = 2;

/** Conditions that a commit takes for the leadership, the plan and the receipt, beside one for each job. */
export const CONDITIONS_BESIDE_JOBS = 3;

/** The longest random pause before a cycle whose commit the store refused is planned again. */
const RETRY_JITTER_MS = 200;

/** The condition on a key that must not exist yet. */
const NOT_WRITTEN = 0n as ModRevision;

/** The outcome of a commit. */
export type CommitOutcome =
  /** No task fitted into the plan, and nothing was written. */
  | 'nothing-to-commit'
  | 'committed'
  /** The store refused it without writing: the cycle should be planned again. */
  | 'refused'
  /** Leadership was lost, a record had changed, or the outcome is unknown: what follows is handled elsewhere. */
  | 'abandoned';

export interface PlanCommitterDependencies {
  readonly context: LeaderContext<SchedulingClusterState>;
  readonly writer: FencedWriter;
  readonly commands: Pick<CommandDispatcher, 'send'>;
  /** Notified of machines for which tasks have just been committed. */
  readonly onCommitted: (machines: readonly Machine[]) => void;
}

/** A plan and the transaction that commits it. */
interface PreparedCommit {
  readonly id: PlanId;
  readonly attempt: Attempt;
  readonly tasks: readonly PlannedTask[];
  readonly jobs: readonly Job[];
  readonly claims: readonly GenerationClaim[];
  /** The agent epochs that the tasks were planned for. */
  readonly epochs: ReadonlyMap<Machine, AgentEpoch>;
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/**
 * Commits the tasks of a cycle: writes the plan in one transaction that is conditioned on the leadership and
 * on the revision of every job's record, and only then enters the tasks into the cluster state and sends the
 * start commands.
 */
export class PlanCommitter {
  private readonly context: PlanCommitterDependencies['context'];
  private readonly writer: PlanCommitterDependencies['writer'];
  private readonly commands: PlanCommitterDependencies['commands'];
  private readonly onCommitted: PlanCommitterDependencies['onCommitted'];
  private commits = 0;

  constructor({ context, writer, commands, onCommitted }: PlanCommitterDependencies) {
    this.context = context;
    this.writer = writer;
    this.commands = commands;
    this.onCommitted = onCommitted;
  }

  /** Commits planned tasks. The caller has reserved `CHANGES_PER_COMMIT` writes. */
  async commit(
    cluster: SchedulingClusterState,
    plannedTasks: readonly PlannedTask[],
    planMs: number,
  ): Promise<CommitOutcome> {
    const { context, writer } = this;
    const { clock, metrics } = context.dependencies;
    const commit = this.prepare(plannedTasks);
    if (commit.jobs.length === 0) return 'nothing-to-commit';
    const { conditions, changes } = commit;
    // Until the answer, the machines must not be returned as idle, and the jobs must not be completed.
    for (const machine of commit.epochs.keys()) machine.pendingCommits++;
    for (const job of commit.jobs) job.unansweredWrite = 'plan';
    const sentAt = clock.now();
    const outcome = await writer.write(conditions, changes, RequestPriority.Scheduling, true);
    for (const machine of commit.epochs.keys()) machine.pendingCommits--;
    if (!context.isActive()) return 'abandoned';
    if (hasAnswer(outcome)) for (const job of commit.jobs) job.unansweredWrite = undefined;
    if (!outcome.ok) return this.handleFailure(commit.id, outcome.error);
    if (outcome.value.kind === 'conflict') {
      await writer.handleConflict(outcome.value.failed, commit.id);
      return 'abandoned';
    }
    const now = clock.now();
    metrics.recordDurationMs('round-commit', now - sentAt);
    this.applyToCluster(cluster, commit, now);
    this.logCommitted(commit, planMs);
    this.sendStarts(commit);
    return 'committed';
  }

  private prepare(plannedTasks: readonly PlannedTask[]): PreparedCommit {
    const { log, settings } = this.context.dependencies;
    const { term } = this.context.leadership;
    const sequence = ++this.commits;
    const id = planId(term, sequence);
    const attempt = attemptOf(term, sequence);
    const { valueKb } = settings.store;
    const { plan, taken: tasks } = buildPlan({ id, attempt, tasks: plannedTasks, term, valueKb }, log);
    const jobs = [...new Set(tasks.map(({ job }) => job))];
    const claims = jobs.map((job) => this.claimOf(job));
    const sealed = seal(plan);
    const receipt = seal({ plan: id, sum: sealed.sum, term, claims });
    return {
      id,
      attempt,
      tasks,
      jobs,
      claims,
      epochs: new Map(tasks.map(({ machine }) => [machine, machine.agentEpoch])),
      conditions: [
        { key: Keys.plan(id), modRevision: NOT_WRITTEN },
        { key: Keys.receipt(id), modRevision: NOT_WRITTEN },
        ...jobs.map((job) => ({ key: Keys.job(job.id), modRevision: job.modRevision })),
      ],
      changes: [
        { op: 'put', key: Keys.plan(id), value: sealed },
        { op: 'put', key: Keys.receipt(id), value: receipt },
      ],
    };
  }

  /** The next generation of the job's record, and its target width if it is elastic. */
  private claimOf(job: Job): GenerationClaim {
    const width = this.context.elastic?.targetWidth(job);
    const claim = { job: job.id, generation: job.record.generation + 1 };
    return width === undefined ? claim : { ...claim, width };
  }

  /**
   * A commit without an answer may have been written. Only a new term, which loads the state from the store again, can
   * tell.
   */
  private async handleFailure(plan: PlanId, failure: StoreFailure): Promise<CommitOutcome> {
    const { clock, election, log, random } = this.context.dependencies;
    if (failure.kind === 'unknown') {
      await election.restartTerm('a plan commit without an answer');
      return 'abandoned';
    }
    log.info('plan-not-committed', { plan, why: failure.why });
    await sleep(clock, jitter(random, RETRY_JITTER_MS));
    return 'refused';
  }

  private applyToCluster(cluster: SchedulingClusterState, commit: PreparedCommit, now: SteadyMs): void {
    const { id, tasks, claims } = commit;
    cluster.plans.set(id, { id, openTasks: tasks.length, completionBatches: new Set() });
    for (const { job, generation, width } of claims) {
      const known = cluster.jobs.get(job);
      if (known) known.record = withMinimumGeneration(known.record, generation, width);
    }
    for (const task of tasks) this.addPlacement(cluster, commit, task, now);
  }

  /**
   * Adds the placement, and ends or stops it if the machine was removed, its agent restarted or the job was cancelled
   * during the write.
   */
  private addPlacement(
    cluster: SchedulingClusterState,
    { id, attempt, epochs }: PreparedCommit,
    { job, index, machine }: PlannedTask,
    now: SteadyMs,
  ): void {
    const epoch = epochs.get(machine)!;
    const placement = cluster.addPlacement(job, index, attempt, machine, epoch, id, now);
    if (cluster.machines.get(machine.id) !== machine || machine.agentEpoch !== epoch) {
      cluster.endPlacement(placement, 'gone', now);
    } else if (job.cancelledAt !== undefined) {
      cluster.requestStop(placement, 0, 'cancelled', now);
    }
  }

  private logCommitted({ id, tasks, jobs, epochs }: PreparedCommit, planMs: number): void {
    this.context.dependencies.log.info('plan-committed', {
      plan: id,
      tasks: tasks.length,
      planMs: Math.round(planMs),
      jobs: jobs.map((job) => job.id).join(' '),
      machines: [...epochs.keys()].map((machine) => machine.id).join(' '),
    });
  }

  private sendStarts({ id, epochs }: PreparedCommit): void {
    const machines = [...epochs.keys()];
    for (const machine of machines) {
      const starts = [...machine.placements].filter((placement) => placement.plan === id);
      this.commands.send(machine, starts, []);
    }
    this.onCommitted(machines);
  }
}
