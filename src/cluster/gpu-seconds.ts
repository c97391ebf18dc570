/**
 * Accounting of GPU time: what the time of rented GPUs was spent on. The cluster state records a task when it ends, and the fleet
 * samples GPUs that no task holds. No decision depends on these figures.
 */
import type { MachineType } from '../protocol/cloud.js';
import type { MachineId, TypeName } from '../protocol/ids.js';
import type { SteadyMs } from '../transport/clock.js';
import type { Machine, Placement } from './entities.js';

/**
 * Causes for which GPU time is spent; each second of each GPU of a machine is counted once.
 *
 * - `run`: tasks that completed, or saved their progress; `replica`: tasks of services
 * - `repeated`: work that was lost and has to run again
 * - `start`: from the commit of a plan until the agent reports the task; `fetch`: waiting for the image;
 *   `gang`: waiting for the rest of the gang; `stop`: from the request to stop until the task is gone
 * - `boot`: machine rented and not up yet; `draining`: free, on a machine that may not be given work
 * - `free`: free while no work waits for capacity; `freeWhileWaiting`: free while some work does
 */
export const GPU_SECOND_CAUSES = [
  'run',
  'replica',
  'repeated',
  'start',
  'fetch',
  'gang',
  'stop',
  'boot',
  'draining',
  'free',
  'freeWhileWaiting',
] as const;
/** One of the causes. */
export type GpuSecondCause = (typeof GPU_SECOND_CAUSES)[number];

const secondsBetween = (from: SteadyMs, to: SteadyMs): number => Math.max(0, to - from) / 1000;

/** GPU-seconds by cause, since this leader took over. */
export class GpuSeconds {
  private readonly secondsByCause = new Map<GpuSecondCause, number>();
  private sampledAt: SteadyMs | undefined;

  private add(cause: GpuSecondCause, gpuSeconds: number): void {
    if (gpuSeconds <= 0) return;
    this.secondsByCause.set(cause, (this.secondsByCause.get(cause) ?? 0) + gpuSeconds);
  }

  /** Counts the time of a task that has left its machine: only then is it known whether its work was lost. */
  recordTaskEnd(placement: Placement, now: SteadyMs): void {
    const { gpus } = placement.job.spec;
    if (gpus === 0) return;
    const { stop } = placement;
    const until = stop && stop.at < now ? stop.at : now;
    const clip = (at: SteadyMs | undefined): SteadyMs => (at === undefined || at > until ? until : at);
    const reported = clip(placement.reportedSince);
    const imageReady = clip(placement.imageReadySince);
    const running = clip(placement.runningSince);
    this.add('start', gpus * secondsBetween(placement.addedAt, reported));
    this.add('fetch', gpus * secondsBetween(reported, imageReady));
    this.add('gang', gpus * secondsBetween(imageReady, running));
    this.add('stop', gpus * secondsBetween(until, now));
    this.recordRun(placement, gpus * secondsBetween(running, until));
  }

  private recordRun(placement: Placement, gpuSeconds: number): void {
    const { spec } = placement.job;
    if (spec.kind === 'service') return this.add('replica', gpuSeconds);
    const done = placement.ended?.outcome === 'done';
    if (done || placement.progressSaved) return this.add('run', gpuSeconds);
    // Work up to the last checkpoint is not repeated. The time of that checkpoint is not known: half an interval counts as lost.
    const lost = spec.checkpointS > 0 ? Math.min(gpuSeconds, (spec.gpus * spec.checkpointS) / 2) : gpuSeconds;
    this.add('repeated', lost);
    this.add('run', gpuSeconds - lost);
  }

  /** Counts the GPUs of all machines that no task holds, for the time since the last sample. */
  sampleIdleGpus(
    cluster: { readonly machines: ReadonlyMap<MachineId, Machine> },
    types: ReadonlyMap<TypeName, MachineType>,
    workIsWaiting: boolean,
    now: SteadyMs,
  ): void {
    const since = this.sampledAt;
    this.sampledAt = now;
    if (since === undefined) return;
    const elapsedS = secondsBetween(since, now);
    for (const machine of cluster.machines.values()) {
      const gpus = types.get(machine.type)?.gpus ?? 0;
      if (machine.state === 'booting') this.add('boot', gpus * elapsedS);
      else
        this.add(freeCause(machine, workIsWaiting, now), Math.max(0, gpus - machine.usage.gpus) * elapsedS);
    }
  }

  /** Returns whole GPU-seconds by cause; tasks that still run are not yet among them. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(
      GPU_SECOND_CAUSES.map((cause) => [cause, Math.round(this.secondsByCause.get(cause) ?? 0)]),
    );
  }
}

function freeCause(machine: Machine, workIsWaiting: boolean, now: SteadyMs): GpuSecondCause {
  const leaving = machine.interruptionAt !== undefined || machine.quarantinedUntil > now;
  if (machine.state !== 'up' || leaving) return 'draining';
  return workIsWaiting ? 'freeWhileWaiting' : 'free';
}
