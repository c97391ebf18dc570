/**
 * Reconciles the tasks in an agent's heartbeat (the observed state) with the placements that committed plans made on its machine
 * (the desired state), and returns the commands that make the two agree. `heartbeat-handler.ts` decides before whether the
 * heartbeat is new and which machine sent it.
 */
import type { SteadyMs } from '../../transport/clock.js';
import type { AgentEpoch, Term } from '../../protocol/ids.js';
import type { Command, Heartbeat, ReportedTask } from '../../protocol/heartbeats.js';
import { termOfAttempt } from '../../storage/records.js';
import type { Machine, Placement } from '../../cluster/cluster-state.js';
import type { AgentClusterState } from '../leader/cluster-state-views.js';
import type { HeartbeatContext } from './heartbeat-context.js';
import { forgetCommand, startCommand, stopNowCommand, stopPlacementCommand } from './task-commands.js';
import { applyTaskStatus } from './task-status.js';

/** The reply to a heartbeat that needs no command. */
export const NO_COMMANDS: readonly Command[] = [];

/** A reply with this many commands gets no more starts: a command takes about 70 bytes, and a reply is limited to 64 KiB. */
const MAX_COMMANDS_WITH_STARTS = 500;

/** Stop and forget commands beyond this number are left to the reply to the next heartbeat. */
const MAX_COMMANDS_PER_REPLY = MAX_COMMANDS_WITH_STARTS + 300;

/** Returns the current placement of the reported task, if its machine, attempt and agent epoch match. */
export function findPlacement(
  cluster: Pick<AgentClusterState, 'jobs'>,
  machine: Machine,
  epoch: AgentEpoch,
  task: ReportedTask,
): Placement | undefined {
  const placement = cluster.jobs.get(task.job)?.placements.get(task.index);
  if (!placement) return undefined;
  const isSameAttempt =
    placement.machine === machine && placement.attempt === task.attempt && placement.agentEpoch === epoch;
  return isSameAttempt ? placement : undefined;
}

/**
 * Applies from a heartbeat that may be a late duplicate only what stays true once it happened, such as the exit of an attempt. A
 * duplicate proves neither that the machine is alive nor that a task is absent: it can arrive two leases late, and at another
 * controller than the original.
 */
export function applyUnverifiedTasks(
  context: HeartbeatContext,
  machine: Machine,
  heartbeat: Heartbeat,
  now: SteadyMs,
): readonly Command[] {
  const commands: Command[] = [];
  const orphans: ReportedTask[] = [];
  for (const task of heartbeat.tasks) {
    const placement = findPlacement(context.cluster, machine, heartbeat.epoch, task);
    if (placement) applyPlacedTask(context, placement, task, now, commands);
    else if (task.state !== 'exited') orphans.push(task);
  }
  context.cluster.setOrphanTasks(machine, orphans);
  return commands;
}

/**
 * Reconciles a verified heartbeat. `hasEarlierHeartbeat` tells whether the machine sent a heartbeat before this one: a start is
 * sent only to a machine that did, or that was provisioned under this term.
 */
export function reconcileTasks(
  context: HeartbeatContext,
  machine: Machine,
  heartbeat: Heartbeat,
  hasEarlierHeartbeat: boolean,
  now: SteadyMs,
): readonly Command[] {
  // The usual case: nothing changed on either side since the last heartbeat that needed no command.
  const isUnchanged =
    machine.reconciledTasks !== undefined && hasSameTasks(machine.reconciledTasks, heartbeat.tasks);
  // Under a higher token, the agent may forget exits that it had to retain before.
  const mayForgetMore = machine.retainedExits > 0 && machine.reconciledToken !== heartbeat.token;
  if (isUnchanged && !mayForgetMore) return NO_COMMANDS;
  return new Reconciliation(context, machine, heartbeat, hasEarlierHeartbeat, now).run();
}

/** Compares by identity: the heartbeat reader returns the same object for a task whose encoded bytes are the same. */
function hasSameTasks(a: readonly ReportedTask[], b: readonly ReportedTask[]): boolean {
  if (a.length !== b.length) return false;
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return false;
  return true;
}

function applyPlacedTask(
  context: HeartbeatContext,
  placement: Placement,
  task: ReportedTask,
  now: SteadyMs,
  commands: Command[],
): void {
  applyTaskStatus(context, placement, task, now);
  if (task.state === 'exited' || !placement.stop) return;
  commands.push(stopPlacementCommand(placement, placement.stop.graceS));
}

/** The reconciliation of one heartbeat with the placements of its machine. */
class Reconciliation {
  private readonly commands: Command[] = [];
  private readonly reported = new Set<Placement>();
  private readonly orphans: ReportedTask[] = [];
  private retainedExits = 0;

  constructor(
    private readonly context: HeartbeatContext,
    private readonly machine: Machine,
    private readonly heartbeat: Heartbeat,
    private readonly hasEarlierHeartbeat: boolean,
    private readonly now: SteadyMs,
  ) {}

  run(): readonly Command[] {
    const { machine, heartbeat, commands } = this;
    this.context.cluster.reconciledTaskCount += heartbeat.tasks.length;
    machine.reconciledTasks = undefined;
    for (const task of heartbeat.tasks) this.matchTask(task);
    machine.reconciledToken = heartbeat.token;
    this.context.cluster.setRetainedExits(machine, this.retainedExits);
    this.recordOrphans();
    const agrees = this.checkPlacements();
    if (agrees && commands.length === 0) machine.reconciledTasks = heartbeat.tasks;
    return commands.slice(0, MAX_COMMANDS_PER_REPLY);
  }

  private matchTask(task: ReportedTask): void {
    const placement = findPlacement(this.context.cluster, this.machine, this.heartbeat.epoch, task);
    if (placement) {
      this.reported.add(placement);
      applyPlacedTask(this.context, placement, task, this.now, this.commands);
    } else this.handleOrphan(task);
  }

  /** Handles a task without a current placement on this machine: of an ended job, an older attempt, or an older leader. */
  private handleOrphan(task: ReportedTask): void {
    if (task.state !== 'exited') {
      this.commands.push(stopNowCommand(task));
      this.orphans.push(task);
      return;
    }
    if (mayStartAgain(task, this.heartbeat.token)) {
      this.retainedExits++;
      return;
    }
    this.context.log.debug('orphan-task-forgotten', {
      task: `${task.job}/${task.index}`,
      machine: this.machine.id,
    });
    this.commands.push(forgetCommand(task));
  }

  private recordOrphans(): void {
    const { context, machine, orphans } = this;
    const [first] = orphans;
    if (first && machine.orphanTasks.length === 0) {
      context.log.info('task-orphaned', { machine: machine.id, task: `${first.job}/${first.index}` });
    }
    if (!first && machine.orphanTasks.length > 0) context.wake();
    context.cluster.setOrphanTasks(machine, orphans);
  }

  /** Handles placements whose task is not in the heartbeat. Returns whether heartbeat and placements agree completely. */
  private checkPlacements(): boolean {
    const { machine, heartbeat, reported } = this;
    let agrees =
      reported.size + this.retainedExits === heartbeat.tasks.length &&
      reported.size === machine.placements.size;
    for (const placement of machine.placements) {
      const isPending = placement.startDelivery !== undefined || (placement.stop && !placement.ended);
      if (isPending) agrees = false;
      if (placement.ended || reported.has(placement) || placement.agentEpoch !== heartbeat.epoch) continue;
      agrees = false;
      this.handleMissingTask(placement);
    }
    return agrees;
  }

  private handleMissingTask(placement: Placement): void {
    const { context, now } = this;
    if (this.mayStartStillArrive(placement)) return;
    if (placement.confirmed) {
      // An earlier heartbeat of the same epoch showed the task.
      context.log.info('task-lost', {
        task: `${placement.job.id}/${placement.index}`,
        machine: placement.machine.id,
      });
      context.cluster.endPlacement(placement, 'gone', now);
      context.wake();
      return;
    }
    // A start in an earlier reply was carried out before this heartbeat was made, or it never will be.
    if (placement.stop || placement.job.cancelledAt !== undefined) {
      context.cluster.endPlacement(placement, 'unsent', now);
      context.wake();
      return;
    }
    this.addStart(placement);
  }

  /**
   * Whether a start sent to the agent's address may still be carried out. Until the agent obeys a higher fencing token than that
   * start carries, the task's absence proves nothing, and a second start would settle nothing.
   */
  private mayStartStillArrive(placement: Placement): boolean {
    if (placement.startDelivery === undefined) return false;
    const isFenced = placement.startToken !== undefined && this.heartbeat.token > placement.startToken;
    if (!isFenced) return true;
    this.context.cluster.resolveInDoubt(placement);
    return false;
  }

  private addStart(placement: Placement): void {
    const { context, commands } = this;
    if (commands.length >= MAX_COMMANDS_WITH_STARTS) return;
    if (!context.mayStartTasks()) return;
    if (!this.hasEarlierHeartbeat && !placement.machine.rentedThisTerm) return;
    if (placement.startSentWith !== undefined) {
      context.log.info('start-resent', {
        task: `${placement.job.id}/${placement.index}`,
        machine: placement.machine.id,
      });
    }
    placement.startSentWith = this.heartbeat.sequence;
    commands.push(startCommand(placement));
  }
}

/**
 * Whether a start of an exited attempt may be carried out a second time. A command may arrive minutes late, or again after it was
 * carried out, as long as the agent obeys its token, and an agent refuses only the start of an attempt that it still remembers.
 *
 * Invariant: an attempt that ended without a result is forgotten only once its agent obeys a higher token than that of its plan, however
 * it ended and however many others the agent retains. Its start was never sent to the agent under a later token (`CommandDispatcher`).
 * Otherwise a task that failed, was refused or was stopped here, and runs elsewhere by then, could start here a second time. A
 * completed attempt may be forgotten at once: its result exists, so a second start exits without running.
 */
const mayStartAgain = (task: ReportedTask, token: Term): boolean =>
  task.cause !== 'done' && termOfAttempt(task.attempt) >= token;
