/**
 * Adds stops for the tasks of cancelled jobs to the reply to every heartbeat, whether or not the cluster state is loaded or the
 * machine is fenced. This is always safe, since such a task is of no use to anyone. It also withholds the reply, and with it the
 * renewal of the lease, from machines on which cancellations are not obeyed.
 */
import type { Clock } from '../../transport/clock.js';
import type { JobId, MachineId } from '../../protocol/ids.js';
import type { Command, Heartbeat, ReportedTask } from '../../protocol/heartbeats.js';
import type { Placement } from '../../cluster/cluster-state.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import { stopNowCommand } from '../heartbeats/task-commands.js';

/** An agent that got this many stops in a row, and shows a cancelled task in the next heartbeat, does not obey. */
const MAX_UNOBEYED_STOPS = 3;

/** Adds to replies the stops of cancelled tasks, and removes their starts. */
export class CancelledJobStops {
  /** Number of consecutive replies to each machine that stopped a cancelled task. */
  private readonly repliesWithStops = new Map<MachineId, number>();

  constructor(
    private readonly clock: Clock,
    private readonly cancelled: Pick<CancelledJobs, 'any' | 'since'>,
    /** How long after a cancellation becomes known a lease is still renewed where the cancellation is not obeyed. */
    private readonly unobeyedLimitMs: number,
  ) {}

  /**
   * Returns the reply with the missing stops and without starts of cancelled tasks. Returns undefined where no reply may renew the
   * lease, because a lease renewed now would outlive the limit: the agent does not obey, or a start of a cancelled task may still
   * reach it.
   */
  complete(
    heartbeat: Heartbeat,
    commands: readonly Command[],
    placements: Iterable<Placement>,
  ): readonly Command[] | undefined {
    if (!this.cancelled.any) return commands;
    let stops: Command[] | undefined;
    let isOverdue = false;
    let showsCancelled = false;
    for (const task of heartbeat.tasks) {
      if (task.state === 'exited') continue;
      const cancelledSince = this.cancelled.since(task.job);
      if (cancelledSince === undefined) continue;
      showsCancelled = true;
      isOverdue ||= this.isPastLimit(cancelledSince);
      if (!commands.some((command) => stopsNow(command, task))) (stops ??= []).push(stopNowCommand(task));
    }
    const isObeyed = this.recordObedience(heartbeat.machine, showsCancelled, isOverdue);
    if (!isObeyed || this.hasOverdueStart(placements)) return undefined;
    const remainingCommands = this.withoutCancelledStarts(commands);
    return stops ? [...remainingCommands, ...stops] : remainingCommands;
  }

  private isPastLimit(since: number): boolean {
    return this.clock.now() - since > this.unobeyedLimitMs;
  }

  /** Counts the replies with stops that the machine did not obey. Returns whether its lease may still be renewed. */
  private recordObedience(machine: MachineId, showsCancelled: boolean, isOverdue: boolean): boolean {
    if (!showsCancelled) {
      if (this.repliesWithStops.size > 0) this.repliesWithStops.delete(machine);
      return true;
    }
    const previousReplies = this.repliesWithStops.get(machine) ?? 0;
    this.repliesWithStops.set(machine, previousReplies + 1);
    return !isOverdue || previousReplies < MAX_UNOBEYED_STOPS;
  }

  /** Whether a start of a task whose cancellation is past the limit may still be in flight. */
  private hasOverdueStart(placements: Iterable<Placement>): boolean {
    for (const placement of placements) {
      if (placement.startDelivery === undefined || placement.ended) continue;
      const cancelledSince = this.cancelled.since(placement.job.id);
      if (cancelledSince !== undefined && this.isPastLimit(cancelledSince)) return true;
    }
    return false;
  }

  private withoutCancelledStarts(commands: readonly Command[]): readonly Command[] {
    const isCancelled = (job: JobId): boolean => this.cancelled.since(job) !== undefined;
    const isCancelledStart = (command: Command): boolean =>
      command.op === 'start' && isCancelled(command.job);
    return commands.some(isCancelledStart)
      ? commands.filter((command) => !isCancelledStart(command))
      : commands;
  }
}

/** Whether the command stops this attempt without grace. */
const stopsNow = (command: Command, task: ReportedTask): boolean =>
  command.op === 'stop' &&
  command.index === task.index &&
  command.attempt === task.attempt &&
  command.job === task.job &&
  command.graceS === 0;
