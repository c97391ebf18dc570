import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { JobId, TeamName, TypeName } from '../../protocol/ids.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TeamLimits } from '../../protocol/settings.js';
import {
  teamUsageWithOrphans,
  waitingTaskCount,
  type Job,
  type Machine,
} from '../../cluster/cluster-state.js';
import type { EligibilityContext } from '../scheduling/eligibility.js';
import { type UnplacedTasks } from '../scheduling/snapshot.js';
import type { ExplainClusterState } from '../leader/cluster-state-views.js';
import { explainIneligibleMachines, type AgentSettings } from './ineligible-machines.js';

/** A team's limit as text; 0 or a missing team means no limit. */
const limitText = (limit: number | undefined): string =>
  limit === undefined || limit === 0 ? 'unlimited' : String(limit);

export interface ExplainContext {
  readonly clock: Clock;
  readonly cluster: ExplainClusterState;
  readonly unplaced: readonly UnplacedTasks[];
  readonly machineTypes: ReadonlyMap<TypeName, MachineType>;
  readonly teamLimits: ReadonlyMap<TeamName, TeamLimits>;
  readonly storeOk: boolean;
  readonly capacityRefusedUntil: ReadonlyMap<string, SteadyMs>;
  /** What the scheduling cycle judges machines by. */
  readonly eligibility: EligibilityContext;
  readonly agentSettings: AgentSettings;
}

/** Explains to the user why a job waits, one sentence per line; undefined if the leader does not know the job. */
export function explainJob(context: ExplainContext, id: JobId): string[] | undefined {
  const job = context.cluster.jobs.get(id);
  if (!job) return undefined;
  const lines = [describeTaskCounts(job)];
  if (!context.storeOk)
    lines.push('The state service is unavailable: nothing new can be committed until it answers.');
  if (job.cancelledAt !== undefined) {
    lines.push('It was cancelled; its tasks are being stopped.');
    return lines;
  }
  for (const placement of job.placements.values()) {
    if (placement.state === undefined && !placement.ended) {
      lines.push(
        `Task ${placement.index} was committed to ${placement.machine.id}, which hasn't reported it yet.`,
      );
      break;
    }
  }
  for (const unplaced of context.unplaced)
    if (unplaced.job === job) lines.push(...explainUnplaced(context, job, unplaced));
  return lines;
}

function describeTaskCounts(job: Job): string {
  let running = 0;
  let fetching = 0;
  let other = 0;
  for (const placement of job.placements.values()) {
    if (placement.ended) continue;
    if (placement.state === 'running') running++;
    else if (placement.state === 'fetching') fetching++;
    else other++;
  }
  const waiting = job.spec.tasks - job.done.count - job.placements.size;
  return (
    `${job.spec.tasks} tasks: ${job.done.count} done, ${running} running, ${fetching} fetching their image, ` +
    `${other} starting or stopping, ${waiting} waiting.`
  );
}

function explainUnplaced(context: ExplainContext, job: Job, unplaced: UnplacedTasks): string[] {
  const tasks = unplaced.count === 1 ? '1 task waits' : `${unplaced.count} tasks wait`;
  const now = context.clock.now();
  switch (unplaced.reason) {
    case 'team limit': {
      const usage = teamUsageWithOrphans(context.cluster).get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      const team = context.teamLimits.get(job.spec.team);
      return [
        `${tasks} for the limit of team ${job.spec.team}, which uses ${usage.gpus} of ${limitText(team?.gpusMax)} ` +
          `GPUs and ${usage.cpus} of ${limitText(team?.cpusMax)} CPUs.`,
      ];
    }
    case 'backing off':
      return [
        `${tasks} because its tasks failed ${job.backoffFailures} times; next try in ${seconds(job.retryAt - now)}.`,
      ];
    case 'old attempt not gone': {
      const machines = [
        ...new Set([...job.placements.values()].map((placement) => placement.machine.id)),
      ].slice(0, 5);
      return [`${tasks} until the earlier attempt is surely gone from ${machines.join(', ')}.`];
    }
    case 'no idle room':
      return [`${tasks} for idle room: beyond its least width nothing is stopped or rented for it.`];
    case 'round full':
      return [`${tasks} for the next round: the last one was full.`];
    case 'no room': {
      const refused = [...context.capacityRefusedUntil]
        .filter(([, until]) => until > now)
        .map(([machineKind]) => machineKind);
      return [
        `${tasks} for room on a machine that may run it.`,
        ...explainIneligibleMachines(
          job,
          context.cluster.machines.values(),
          context.machineTypes,
          context.eligibility,
          context.agentSettings,
        ),
        ...(refused.length > 0 ? [`The cloud has no capacity just now for ${refused.join(', ')}.`] : []),
      ];
    }
  }
}

/** Bounds of the lists in one overview, which may be sent over slow links. */
const MAX_LISTED = 200;
const MAX_COMPLETIONS = 20;

interface TaskCounts {
  running: number;
  other: number;
  assumed: number;
}

/**
 * The leader's view of the cluster, and how current it is. A machine is `confirmed` if its last heartbeat is no older than
 * `heartbeatDueMs`; a task is `assumed` if no heartbeat has shown it yet or its machine is not confirmed. Ages are in seconds.
 * Totals cover everything, lists only the first entries.
 */
export function clusterOverview(context: ExplainContext, heartbeatDueMs: number): Record<string, unknown> {
  const { cluster } = context;
  const now = context.clock.now();
  const age = (then: SteadyMs): number => Math.max(0, Math.round((now - then) / 1000));
  const isConfirmed = (machine: Machine): boolean =>
    machine.lastHeartbeat !== undefined && now - machine.lastHeartbeat <= heartbeatDueMs;
  const unplacedReasons = new Map<Job, string>();
  for (const unplaced of context.unplaced) unplacedReasons.set(unplaced.job, unplaced.reason);
  const total = {
    jobs: cluster.jobs.size,
    machines: cluster.machines.size,
    running: 0,
    waiting: 0,
    assumed: 0,
  };
  const jobs: Record<string, unknown>[] = [];
  for (const job of cluster.jobs.values()) {
    const taskCounts: TaskCounts = { running: 0, other: 0, assumed: 0 };
    for (const placement of job.placements.values()) {
      if (placement.ended) continue;
      if (placement.state === 'running') taskCounts.running++;
      else taskCounts.other++;
      if (placement.state === undefined || !isConfirmed(placement.machine)) taskCounts.assumed++;
    }
    total.running += taskCounts.running;
    total.assumed += taskCounts.assumed;
    total.waiting += waitingTaskCount(job);
    if (jobs.length >= MAX_LISTED) continue;
    jobs.push({
      id: job.id,
      team: job.spec.team,
      kind: job.spec.kind,
      tasks: job.spec.tasks,
      done: job.done.count,
      ...taskCounts,
      age: age(job.acceptedAt),
      why: job.cancelledAt !== undefined ? 'cancelled' : (unplacedReasons.get(job) ?? null),
    });
  }
  const machines = [...cluster.machines.values()].slice(0, MAX_LISTED).map((machine) => ({
    id: machine.id,
    type: machine.type,
    zone: machine.zone,
    state: machine.state,
    heard: machine.lastHeartbeat === undefined ? null : age(machine.lastHeartbeat),
    confirmed: isConfirmed(machine),
    leaving: machine.interruptionAt !== undefined,
    tasks: [...machine.placements]
      .filter((placement) => !placement.ended)
      .slice(0, 50)
      .map((placement) => ({
        task: `${placement.job.id}/${placement.index}`,
        state: placement.state ?? 'sent',
        since: age(placement.addedAt),
      })),
  }));
  return {
    storeOk: context.storeOk,
    total,
    jobs,
    machines,
    ends: [...cluster.endedJobs].slice(-MAX_COMPLETIONS).reverse(),
  };
}

const seconds = (ms: number): string => `${Math.max(0, Math.round(ms / 1000))} s`;
