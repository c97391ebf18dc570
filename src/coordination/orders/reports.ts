import { plus, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Metrics } from '../../transport/metrics.js';
import type { Log } from '../../transport/log.js';
import type { Command, Report, ReportedTask } from '../../protocol/workers.js';
import type { Estimates } from '../../bookkeeping/estimates.js';
import type { Machine, Placement } from '../../bookkeeping/world.js';
import type { Scope } from '../scope.js';
import type { OrdersWorld } from '../views.js';

export interface CommandContext {
  readonly world: OrdersWorld;
  readonly clock: Clock;
  readonly log: Log;
  readonly estimates: Estimates;
  readonly metrics: Metrics;
  /** Starts follow a receipt, but only while this node surely holds the term. */
  readonly cacheGb: (machine: Machine) => number;
  readonly mayStart: () => boolean;
  readonly wake: () => void;
}

export const commandContext = (s: Scope<OrdersWorld>, world: OrdersWorld): CommandContext => {
  const { d } = s;
  return {
    world,
    clock: d.clock,
    log: d.log,
    estimates: s.estimates,
    metrics: d.metrics,
    cacheGb: (m) => d.types.all().get(m.type)?.cacheGb ?? Infinity,
    mayStart: () => d.term.canDecide(),
    wake: () => s.wake(),
  };
};

const NOTHING: readonly Command[] = [];

/** Reports that say the same of a task say it with the same object: their reader sees to that. */
function sameTasks(a: readonly ReportedTask[], b: readonly ReportedTask[]): boolean {
  if (a.length !== b.length) return false;
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return false;
  return true;
}

/** Some 70 bytes each, against 64 KiB for an answer. */
const MOST_COMMANDS = 500;

/**
 * The command loop: the wanted state is the committed placements, the found state is the report; the
 * difference is the answer. Starts go in answers to reports, which can't run late: the worker has one
 * report in flight and drops answers after 4 s.
 */
export function handleReport(ctx: CommandContext, r: Report): readonly Command[] {
  const { world, log } = ctx;
  const now = ctx.clock.now();
  const machine = machineOf(ctx, r, now);
  // A held report may come minutes later: it is as old as its number says, and proves nothing now.
  if (r.session < machine.session || (r.session === machine.session && r.seq <= machine.seq)) {
    log.debug('report-late', { machine: r.machine, seq: r.seq });
    return [];
  }
  if (r.session > machine.session) newSession(ctx, machine, r, now);
  const before = machine.seq;
  const first = machine.lastReport === undefined;
  machine.seq = r.seq;
  machine.lastReport = now;
  machine.address = r.address;
  machine.probedAt = undefined;
  if (machine.state === 'booting') {
    machine.state = 'up';
    machine.upSince = now;
    machine.idleSince = now;
  }
  if (first) {
    log.info('machine-up', {
      machine: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
    });
    ctx.wake();
  }
  if (r.noticeS !== null && machine.noticeAt === undefined) {
    machine.noticeAt = plus(now, r.noticeS * 1000);
    world.noticed.add(machine);
    log.info('machine-noticed', { machine: machine.id, inS: r.noticeS });
    ctx.wake();
  }
  // Only a report that was made after the worker took this term's token shows all that an older holder's
  // answers may have started: from then on the worker drops them.
  const trusted = machine.trusted || r.token >= world.since || machine.own;
  if (trusted && !machine.trusted) {
    machine.trusted = true;
    machine.trustedAt = now;
    ctx.wake();
  }
  // Nothing changed on either side since the last report that called for nothing: the usual case at rest.
  if (trusted && machine.calm !== undefined && sameTasks(machine.calm, r.tasks)) return NOTHING;
  ctx.world.matched += r.tasks.length;
  machine.calm = undefined;
  const commands: Command[] = [];
  const reported = new Set<Placement>();
  const strangers: ReportedTask[] = [];
  for (const task of r.tasks) {
    const p = world.jobs.get(task.job)?.placements.get(task.index);
    if (p && p.machine === machine && p.attempt === task.attempt && p.session === r.session) {
      reported.add(p);
      ownTask(ctx, p, task, now, commands);
    } else {
      stranger(ctx, machine, task, commands);
      if (task.state !== 'exited') strangers.push(task);
    }
  }
  if (strangers.length > 0 && machine.strangers.length === 0) {
    log.info('strangers-found', { machine: machine.id, task: `${strangers[0]!.job}/${strangers[0]!.index}` });
  }
  if (strangers.length === 0 && machine.strangers.length > 0) ctx.wake();
  world.setStrangers(machine, strangers);
  if (!trusted) return commands;
  let whole = reported.size === r.tasks.length && reported.size === machine.placements.size;
  for (const p of machine.placements) {
    if (p.order !== undefined || (p.stop && !p.ended)) whole = false;
    if (p.ended || reported.has(p) || p.session !== r.session) continue;
    whole = false;
    missingTask(ctx, p, r, before > 0n, now, commands);
  }
  if (whole && commands.length === 0) machine.calm = r.tasks;
  // What doesn't fit is said again in the answer to the next report.
  return commands.slice(0, MOST_COMMANDS + 300);
}

/**
 * The answer to commands sent to the worker's address is its report after them. It shows what is there; that
 * something is missing is left to the next ordinary report.
 */
export function handleOrderReply(ctx: CommandContext, machine: Machine, r: Report): void {
  if (r.session !== machine.session || r.seq <= machine.seq) return;
  const now = ctx.clock.now();
  machine.seq = r.seq;
  for (const task of r.tasks) {
    const p = ctx.world.jobs.get(task.job)?.placements.get(task.index);
    if (p && p.machine === machine && p.attempt === task.attempt && p.session === r.session) {
      ownTask(ctx, p, task, now, []);
    }
  }
}

function machineOf(ctx: CommandContext, r: Report, now: SteadyMs): Machine {
  const known = ctx.world.machines.get(r.machine);
  if (known) return known;
  ctx.log.info('machine-found', { machine: r.machine, type: r.type, zone: r.zone });
  return ctx.world.addMachine(r.machine, r.type, r.zone, r.spot, now, now);
}

/** The session rises only when the worker has killed and forgotten all tasks of the one before. */
function newSession(ctx: CommandContext, machine: Machine, r: Report, now: SteadyMs): void {
  for (const p of machine.placements) {
    if (p.session < r.session) ctx.world.end(p, 'gone', now);
  }
  if (machine.session > 0n) ctx.log.info('worker-session', { machine: machine.id, session: r.session });
  machine.session = r.session;
  ctx.world.setStrangers(machine, []);
  ctx.wake();
}

function ownTask(
  ctx: CommandContext,
  p: Placement,
  task: ReportedTask,
  now: SteadyMs,
  commands: Command[],
): void {
  const base = { job: p.job.id, index: p.index, attempt: p.attempt };
  const { machine } = p;
  // The worker has this attempt, so the one order that was sent for it has run.
  if (p.order !== undefined) ctx.world.land(p);
  if (task.state === 'exited') {
    if (p.ended) return; // Its forget follows once the store holds the end.
    const how = task.cause ?? 'error';
    ctx.log.debug('task-exited', { task: `${p.job.id}/${p.index}`, machine: machine.id, how });
    p.saved = task.saved;
    if (how === 'done') {
      p.job.errors = 0;
      machine.errors = 0;
      if (p.runningSince !== undefined && p.job.spec.kind === 'array' && p.job.spec.checkpointS === 0) {
        ctx.estimates.observe(p.job.spec, (now - p.runningSince) / 1000);
      }
    } else afterExit(ctx, p, how, now);
    ctx.world.end(p, how, now);
    ctx.wake();
    return;
  }
  p.seen = true;
  if (p.state !== task.state) {
    p.state = task.state;
    p.shownSince ??= now;
    if (task.state !== 'fetching') {
      p.fetchedSince ??= now;
      ctx.world.noteImage(machine, p.job.spec.image, p.job.spec.imageGb, ctx.cacheGb(machine));
    }
    if (task.state === 'running') {
      if (p.runningSince === undefined) ctx.metrics.timeMs('accepted-to-running', now - p.job.acceptedAt);
      p.runningSince ??= now;
      ctx.log.debug('task-running', { task: `${p.job.id}/${p.index}`, machine: machine.id });
    }
  }
  if (p.stop) {
    commands.push({ op: 'stop', ...base, graceS: p.stop.graceS });
  }
}

/** What an exit that isn't a completion says of the machine and of the job. */
function afterExit(ctx: CommandContext, p: Placement, how: string, now: SteadyMs): void {
  const { job, machine } = p;
  if (how === 'error') {
    job.errors++;
    job.faults++;
    ctx.world.faulty.add(job);
    machine.errors++;
    machine.suspectUntil = plus(now, Math.min(120, 5 * 2 ** machine.errors) * 1000);
    job.avoid.set(machine.id, plus(now, 300_000));
    // A job submitted with a mistake fails everywhere: it must not spin, nor condemn every machine.
    if (job.errors > 1) job.notBefore = plus(now, Math.min(60, 2 ** job.errors) * 1000);
    ctx.log.info('task-failed', { task: `${job.id}/${p.index}`, machine: machine.id, errors: job.errors });
  } else if (how === 'noRoom' || how === 'busy') {
    job.avoid.set(machine.id, plus(now, 5000));
    machine.suspectUntil = plus(now, 2000);
    ctx.log.info('start-refused', { task: `${job.id}/${p.index}`, machine: machine.id, how });
  } else if (how === 'unknown') {
    job.errors++;
    job.notBefore = plus(now, Math.min(60, 2 ** job.errors) * 1000);
    ctx.log.info('start-refused', { task: `${job.id}/${p.index}`, machine: machine.id, how });
  }
}

function missingTask(
  ctx: CommandContext,
  p: Placement,
  r: Report,
  reportedBefore: boolean,
  now: SteadyMs,
  commands: Command[],
): void {
  const base = { job: p.job.id, index: p.index, attempt: p.attempt };
  // A start is on its way to the worker itself: neither its absence nor another start means anything, until
  // the worker obeys a higher token than the start carries.
  if (p.order !== undefined) {
    if (p.orderTerm === undefined || r.token <= p.orderTerm) return;
    ctx.world.land(p);
  }
  if (p.seen) {
    // It was there and isn't any more, in a newer report of the same session.
    ctx.log.info('task-vanished', { task: `${p.job.id}/${p.index}`, machine: p.machine.id });
    ctx.world.end(p, 'gone', now);
    ctx.wake();
    return;
  }
  // The answer that carried the start either ran before this report was made or never will.
  if (p.stop || p.job.cancelledAt !== undefined) {
    ctx.world.end(p, 'unsent', now);
    ctx.wake();
    return;
  }
  if (commands.length >= MOST_COMMANDS) return; // Answers have a size limit; the next report gets the rest.
  if (!ctx.mayStart() || !(reportedBefore || p.machine.own)) return;
  if (p.sentSeq !== undefined)
    ctx.log.info('start-again', { task: `${p.job.id}/${p.index}`, machine: p.machine.id });
  p.sentSeq = r.seq;
  commands.push({ op: 'start', ...base });
}

/** A task that no live plan put on this machine: ended jobs, older attempts, older holders. */
function stranger(ctx: CommandContext, machine: Machine, task: ReportedTask, commands: Command[]): void {
  const base = { job: task.job, index: task.index, attempt: task.attempt };
  if (task.state !== 'exited') {
    commands.push({ op: 'stop', ...base, graceS: 0 });
    return;
  }
  ctx.log.debug('stranger-forgotten', { task: `${task.job}/${task.index}`, machine: machine.id });
  commands.push({ op: 'forget', ...base });
}
