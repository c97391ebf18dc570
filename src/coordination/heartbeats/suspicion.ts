/**
 * Suspicion of machines whose agents send heartbeats but seem to receive nothing (a one-way link failure). Such a machine looks
 * alive and is given tasks that never start; since it is empty after each lease, the scheduler picks it first. The evidence is
 * what its heartbeats fail to show: a token or a start that a reply carried, a command without a reply, or an epoch that ends
 * although its heartbeats were replied to throughout. Each of these can have another cause (a lost reply, a restart), so a
 * suspected machine only gets no new tasks until it shows that it receives, in a heartbeat or by answering a probe (`fleet/`).
 * This module never returns a machine and never ends a task.
 */
import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Term } from '../../protocol/ids.js';
import type { Command, Heartbeat } from '../../protocol/heartbeats.js';
import type { UnconfirmedCommand, Machine } from '../../cluster/cluster-state.js';

/**
 * An agent drops replies after four seconds. If a heartbeat made after that does not show what the reply asked for, the agent did
 * not receive the reply.
 */
const REPLY_DROPPED_AFTER_MS = 4500;

/** An epoch ends when the last heartbeat that was replied to is one lease old; an age this much shorter still counts. */
const LEASE_MARGIN_S = 1;

/** Dependencies of the functions that decide whether an agent receives replies and commands. */
export interface SuspicionContext {
  readonly stallAwareClock: Pick<StallAwareClock, 'since'>;
  readonly log: Log;
  readonly leaseS: number;
}

/** Marks the machine as suspected since `since`, unless it already is. */
export function markSuspect(
  context: Pick<SuspicionContext, 'log'>,
  machine: Machine,
  since: SteadyMs,
  reason: string,
): void {
  if (machine.suspectedSince !== undefined) return;
  machine.suspectedSince = since;
  machine.probedAt = undefined;
  context.log.info('machine-suspected', { machine: machine.id, zone: machine.zone, why: reason });
}

/** Clears the suspicion: the agent showed that it receives. */
export function clearSuspicion(context: Pick<SuspicionContext, 'log'>, machine: Machine): void {
  machine.unconfirmedCommand = undefined;
  if (machine.suspectedSince === undefined) return;
  machine.suspectedSince = undefined;
  machine.probedAt = undefined;
  context.log.info('machine-suspicion-cleared', { machine: machine.id });
}

/** Checks in a newer heartbeat of the same epoch whether the agent received the command that is still unconfirmed. */
export function checkAcknowledgement(
  context: SuspicionContext,
  machine: Machine,
  heartbeat: Heartbeat,
): void {
  const { unconfirmedCommand } = machine;
  if (!unconfirmedCommand) return;
  if (confirms(heartbeat, unconfirmedCommand)) clearSuspicion(context, machine);
  else if (context.stallAwareClock.since(unconfirmedCommand.at) > REPLY_DROPPED_AFTER_MS) {
    markSuspect(
      context,
      machine,
      unconfirmedCommand.at,
      'heartbeats do not show the token or command that was sent',
    );
  }
}

/**
 * Checks the start of a new epoch. An epoch ends when the last heartbeat that was replied to is one lease old. If this controller
 * replied more recently, the agent did not receive that reply, or it was restarted; a probe shows which.
 */
export function checkEpochChange(context: SuspicionContext, machine: Machine, now: SteadyMs): void {
  machine.unconfirmedCommand = undefined;
  const { lastHeartbeat } = machine;
  if (lastHeartbeat === undefined || !machine.fenced) return;
  if (now - lastHeartbeat < (context.leaseS - LEASE_MARGIN_S) * 1000) {
    markSuspect(context, machine, now, 'agent epoch ended although its heartbeats were replied to');
  }
}

/** Records what the reply to this heartbeat asks for as unconfirmed, unless something older is still unconfirmed. */
export function recordPendingAcknowledgement(
  machine: Machine,
  heartbeat: Heartbeat,
  commands: readonly Command[],
  token: Term,
  now: SteadyMs,
): void {
  if (machine.unconfirmedCommand) return;
  // A stop may take time to show in heartbeats; starts and forgets are carried out at once.
  const firstCommand = commands.find((command) => command.op !== 'stop');
  if (!firstCommand && heartbeat.token >= token) return;
  machine.unconfirmedCommand = {
    at: now,
    token,
    task: firstCommand && {
      op: firstCommand.op,
      job: firstCommand.job,
      index: firstCommand.index,
      attempt: firstCommand.attempt,
    },
  };
}

/** Whether a heartbeat newer than the reply that carried the command shows that the reply was received. */
function confirms(heartbeat: Heartbeat, command: UnconfirmedCommand): boolean {
  if (heartbeat.token < command.token) return false;
  const { task } = command;
  if (!task) return true;
  const isReported = heartbeat.tasks.some(
    (reported) =>
      reported.job === task.job && reported.index === task.index && reported.attempt === task.attempt,
  );
  return isReported === (task.op === 'start');
}
