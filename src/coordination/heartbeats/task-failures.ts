/**
 * Applies a failed or refused attempt to its job and its machine: retries are backed off, and the machine is avoided or quarantined
 * for a while. A job that fails on every machine is taken to be at fault itself, and its machines are exonerated.
 */
import { plus, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Cause } from '../../protocol/wire.js';
import { failsEverywhere, type Job, type Machine, type Placement } from '../../cluster/cluster-state.js';
import type { AgentClusterState } from '../leader/cluster-state-views.js';

/**
 * Upper bound, in seconds, of each effect of a failure: the delay between attempts of a job that fails everywhere, the quarantine
 * of a machine, the time for which a job avoids a machine. Whatever the fault, a machine with free capacity is tried again well
 * before any job has waited beside it for 90 s. Without the bound, a job can be kept for five minutes from the only machine that
 * it fits.
 */
export const MAX_RETRY_DELAY_S = 60;

/** How long a job avoids a machine that refused one of its tasks. */
const REFUSAL_AVOIDED_MS = 5000;

/** How long a machine that refused a task gets no new tasks. */
const REFUSAL_QUARANTINE_MS = 2000;

/** Base of the quarantine, doubled for each job that failed on the machine. */
const QUARANTINE_BASE_S = 5;

/**
 * A task of a job that fails everywhere shows that the job is sound by running for this long, or for a multiple of the longest run that
 * failed. Together with the longest delay between attempts it is less than the 90 s for which no job may wait beside free capacity.
 */
const MIN_SOUND_RUN_MS = 20_000;
const SOUND_RUN_PER_FAILED_RUN = 2;

/** Dependencies of the functions that record failures. */
export interface TaskFailureContext {
  readonly cluster: Pick<AgentClusterState, 'machines' | 'jobsWithUncountedFailures'>;
  readonly log: Log;
}

/** Records an exit other than completion. A task that was stopped, or exited for its gang, says nothing of its job or machine. */
export function recordFailedExit(
  context: TaskFailureContext,
  placement: Placement,
  cause: Exclude<Cause, 'done'>,
  now: SteadyMs,
): void {
  const { job, machine } = placement;
  const task = `${job.id}/${placement.index}`;
  switch (cause) {
    case 'error':
      recordFailure(context, placement, now);
      context.log.info('task-failed', {
        task,
        machine: machine.id,
        errors: job.backoffFailures,
        machines: job.failedOn.size,
      });
      break;
    case 'noRoom':
    case 'busy':
      job.avoidedUntil.set(machine.id, plus(now, REFUSAL_AVOIDED_MS));
      machine.quarantinedUntil = plus(now, REFUSAL_QUARANTINE_MS);
      context.log.info('start-refused', { task, machine: machine.id, how: cause });
      break;
    case 'unknown':
      backOff(job, now);
      context.log.info('start-refused', { task, machine: machine.id, how: cause });
      break;
    case 'stopped':
    case 'peers':
    case 'alone':
      break;
  }
}

/** Forgets the failures of a job that has been found to be sound. */
export function clearFailures(job: Job): void {
  job.backoffFailures = 0;
  job.failedOn.clear();
  job.failuresSinceCompletion = 0;
  job.longestFailedRunMs = 0;
}

/**
 * Clears the failures of jobs that counted as failing everywhere, and of which a task has run for long enough. A completion shows the same,
 * but a service never completes, and an array of long tasks not for minutes: after a spell in which all machines failed them, they would
 * be placed one task at a time.
 */
export function clearFailuresOfSoundJobs(jobs: Iterable<Job>, now: SteadyMs): void {
  for (const job of jobs) {
    if (failsEverywhere(job) && hasSoundTask(job, now)) clearFailures(job);
  }
}

function hasSoundTask(job: Job, now: SteadyMs): boolean {
  const minRunMs = Math.max(MIN_SOUND_RUN_MS, SOUND_RUN_PER_FAILED_RUN * job.longestFailedRunMs);
  for (const { runningSince, ended } of job.placements.values()) {
    if (!ended && runningSince !== undefined && now - runningSince >= minRunMs) return true;
  }
  return false;
}

function recordFailure(
  context: TaskFailureContext,
  { job, machine, runningSince }: Placement,
  now: SteadyMs,
): void {
  job.longestFailedRunMs = Math.max(job.longestFailedRunMs, now - (runningSince ?? now));
  job.totalFailures++;
  context.cluster.jobsWithUncountedFailures.add(job);
  job.failedOn.add(machine.id);
  job.failuresSinceCompletion++;
  if (failsEverywhere(job)) blameJob(context, job, machine, now);
  else blameMachine(job, machine, now);
}

/**
 * Takes the job to be at fault and exonerates its machines. Whether they were exonerated before is stored, not derived from whether
 * the job failed everywhere before this failure: completions persisted in between change that too, and machines (five in one case)
 * would stay in quarantine for a minute because of a job that is at fault.
 */
function blameJob(context: TaskFailureContext, job: Job, machine: Machine, now: SteadyMs): void {
  const wasExonerated = job.machinesExonerated;
  job.machinesExonerated = true;
  for (const id of wasExonerated ? [machine.id] : job.failedOn) {
    const failed = context.cluster.machines.get(id);
    if (failed?.failedJobs.delete(job.id) && failed.failedJobs.size === 0) failed.quarantinedUntil = now;
  }
  job.backoffFailures = Math.max(1, job.backoffFailures);
  backOff(job, now);
  if (!wasExonerated) {
    context.log.info('job-fails-everywhere', { job: job.id, machines: job.failedOn.size });
  }
}

function blameMachine(job: Job, machine: Machine, now: SteadyMs): void {
  job.machinesExonerated = false;
  job.avoidedUntil.set(machine.id, plus(now, MAX_RETRY_DELAY_S * 1000));
  machine.failedJobs.add(job.id);
  const quarantineS = Math.min(MAX_RETRY_DELAY_S, QUARANTINE_BASE_S * 2 ** machine.failedJobs.size);
  machine.quarantinedUntil = plus(now, quarantineS * 1000);
  backOff(job, now);
}

/** Counts all failures during a delay as one, so that ninety tasks failing at once do not raise the delay to a minute. */
function backOff(job: Job, now: SteadyMs): void {
  if (job.retryAt > now) return;
  job.backoffFailures++;
  if (job.backoffFailures <= 1) return;
  job.retryAt = plus(now, Math.min(MAX_RETRY_DELAY_S, 2 ** job.backoffFailures) * 1000);
}
