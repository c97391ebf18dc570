import { Rank } from '../transport/budget.js';
import { sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { Log } from '../transport/log.js';
import type { Metrics } from '../transport/metrics.js';
import { jitter, type Random } from '../transport/random.js';
import type { Result } from '../transport/result.js';
import type { Address, Attempt, JobId, MachineId, Mark, ZoneName } from '../protocol/ids.js';
import type { Change, Condition } from '../protocol/state.js';
import type { Operator } from '../protocol/operator.js';
import type { Settings } from '../protocol/settings.js';
import { Paths } from '../protocol/wire.js';
import type { ReportReader } from '../protocol/report-reader.js';
import { encodeCommands, type Command, type Report } from '../protocol/workers.js';
import type { Mirror, MirroredRow } from '../bookkeeping/mirror.js';
import {
  attemptOf,
  Keys,
  planId,
  planJobSize,
  planRoom,
  rangesOf,
  seal,
  withGeneration,
  type Claim,
  type ImageNote,
  type Plan,
  type PlanGroup,
  type PlanJob,
  type Row,
  type Sealed,
} from '../bookkeeping/records.js';
import { Estimates } from '../bookkeeping/estimates.js';
import type { Store, StoreFailure, TxnOutcome } from '../bookkeeping/store.js';
import { waitingCount, type Job, type Machine, type Placement, type World } from '../bookkeeping/world.js';
import { handleOrderReply, handleReport, type CommandContext } from './command.js';
import { Fleet, type FleetDeps } from './fleet.js';
import { loadWorld, steadyOf } from './load.js';
import {
  planRound,
  startAims,
  withinGuarantee,
  type PlannedTask,
  type StartAims,
  type Unplaced,
} from './planner.js';
import { nextSettlement } from './settle.js';
import type { HeldTerm, TermKeeper } from './term.js';
import type { Pipelines } from './pipelines/index.js';
import type { TypeBook } from './types.js';

export interface HolderDeps extends Omit<FleetDeps, 'held'> {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly store: Store;
  readonly mirror: Mirror;
  readonly term: TermKeeper;
  readonly types: TypeBook;
  readonly settings: Settings;
  readonly operator: Operator;
  readonly metrics: Metrics;
  readonly reader: ReportReader;
  /** There only where pipelines are served. */
  readonly pipelines?: Pipelines | undefined;
}

/** How long the worker may take over a direct command; its answer usually takes milliseconds. */
const ORDER_MS = 1500;
/** How old the holder's view of who is within the guarantees may be. */
const WITHIN_MS = 300;
/** The least time between two shared finish records. */
const GATHER_MS = 1000;
/** The same where some of it is to be placed again. */
const PROMPT_MS = 500;
/** A round writes its plan and its receipt; the rows of its jobs are claimed in the latter. */
const ROUND_CHANGES = 2;
/** How long a job may run before its row says so: many are over by then, and their rows gone. */
const STAMP_MS = 1500;
/** Image notes are worth a handful of changes this often. */
const IMAGES_MS = 20_000;

/**
 * How far apart rounds are. They may take a fifth of the time: the bigger the fleet, the bigger the rounds rather than the
 * more. And each leaves a plan and a receipt behind that cost two changes more to remove, at the lowest rank (seen: a
 * thousand records that waited). So rounds are further apart the more records wait to go, by a tenth of the time that
 * removing them would take. Plans that are kept count little: a replica keeps its plan for as long as it runs, and a
 * take-over reads hundreds in a few pages (seen: rounds two seconds apart because of them, while two thousand cards stood
 * free and as many tasks waited for their round).
 */
export const roundGapMs = (
  planMs: number,
  leastMs: number,
  records: { readonly waiting: number; readonly plans: number },
  writeRps: number,
): number =>
  Math.min(2000, Math.max(leastMs, 4 * planMs, ((records.waiting + records.plans / 4) / writeRps) * 100));

/** All that one term's holder does. It lives for one term only: a new term starts from the store again. */
export class Holder {
  world: World | undefined;
  private alive = true;
  private dirty = true;
  private wakeUp: (() => void) | undefined;
  private round = 0;
  private notes = 0;
  private notedAt = -Infinity;
  fleet: Fleet | undefined;
  unplaced: readonly Unplaced[] = [];
  private plannedAt = 0 as SteadyMs;
  private readonly estimates = new Estimates();
  private readonly aims: StartAims;
  private nudge: (() => void) | undefined;

  constructor(
    private readonly d: HolderDeps,
    private readonly held: HeldTerm,
  ) {
    this.aims = startAims(d.settings.objectives);
    // Workers need a moment to find a new holder.
    this.heardAt = (d.clock.now() + 1250 * d.settings.workers.reportS) as SteadyMs;
  }

  stop(): void {
    this.alive = false;
    this.d.mirror.listen(undefined);
    this.d.pipelines?.stop(this.world);
    this.wakeUp?.();
    this.nudge?.();
  }

  private live(): boolean {
    return this.alive && this.d.term.current === this.held;
  }

  async start(): Promise<void> {
    const { d } = this;
    while (this.live()) {
      const world = await loadWorld(d.store, d.mirror, d.clock, d.log, this.held.term, () => this.live());
      if (!this.live()) return;
      if (world.ok) {
        this.world = world.value;
        break;
      }
      d.log.info('load-failed', { why: world.error });
      await sleep(d.clock, jitter(d.random, 200));
    }
    if (!this.world) return;
    d.mirror.listen((id, row, mark) => this.onRow(id, row, mark));
    await d.mirror.sync();
    // Rows may have come between the load and the listening.
    for (const [id, row] of d.mirror.entries()) this.onRow(id, row, row.mark);
    d.pipelines?.serve(
      this.world,
      () => this.wake(),
      (id) => this.heardCancelled(id),
    );
    this.fleet = new Fleet(
      { ...d, held: this.held },
      this.world,
      () => this.live(),
      this.estimates,
      () => ({ unplaced: this.unplaced, at: this.plannedAt }),
      () => this.quietZones(),
      () => this.wake(),
    );
    void this.roundLoop();
    void this.settleLoop();
    void this.garbageLoop();
    void this.stampLoop();
    void this.watchLoop();
    void this.fleet.run();
  }

  wake(): void {
    this.dirty = true;
    this.wakeUp?.();
    this.nudge?.();
  }

  /** Somebody else's write: an accepted job, a cancelled one. */
  private onRow(id: JobId, row: MirroredRow | undefined, mark: Mark): void {
    const { world } = this;
    if (!world || !this.live()) return;
    const job = world.jobs.get(id);
    if (!row) return; // Only the holder removes rows, and has done with the job then.
    if (!job) {
      if (world.ended.has(id)) return;
      const added = world.addJob(
        row.row,
        mark,
        steadyOf(this.d.clock, row.row.acceptedAt),
        row.row.state === 'cancelled' ? this.d.clock.now() : undefined,
      );
      this.d.log.info('job-seen', { job: id, class: added.spec.class, tasks: added.spec.tasks });
      this.d.pipelines?.rowSeen(id);
      this.wake();
      return;
    }
    if (mark <= job.mark) return;
    job.mark = mark;
    job.row = withGeneration(row.row, job.row.generation);
    if (row.row.state === 'cancelled') this.cancelled(job);
  }

  private cancelled(job: Job): void {
    if (job.cancelledAt !== undefined) return;
    const now = this.d.clock.now();
    job.cancelledAt = now;
    this.d.log.info('job-cancelled', { job: job.id, tasks: job.placements.size });
    for (const p of job.placements.values()) this.world?.stop(p, 0, 'cancelled', now);
    this.wake();
  }

  /** A peer's word of a cancellation, which may come before the store's. */
  heardCancelled(id: JobId): void {
    const job = this.world?.jobs.get(id);
    if (job) this.cancelled(job);
  }

  onReport(report: Report): readonly Command[] {
    const { world } = this;
    this.heardAt = this.d.clock.now();
    this.zoneHeard.set(report.zone, this.heardAt);
    if (!world) return [];
    return handleReport(this.context(world), report);
  }

  private context(world: World): CommandContext {
    const { d } = this;
    return {
      world,
      clock: d.clock,
      log: d.log,
      estimates: this.estimates,
      metrics: d.metrics,
      cacheGb: (m) => d.types.all().get(m.type)?.cacheGb ?? Infinity,
      mayStart: () => d.term.canDecide(),
      wake: () => this.wake(),
    };
  }

  // ---- who is heard ---------------------------------------------------------------------------------

  private heardAt: SteadyMs;
  private readonly zoneHeard = new Map<ZoneName, SteadyMs>();

  /** When any worker of each zone was last heard, for whoever holds the term after this one. */
  get zonesHeard(): ReadonlyMap<ZoneName, SteadyMs> {
    return this.zoneHeard;
  }

  /**
   * Zones with many machines from which nothing has come for many times their usual gap: likely cut off, known
   * long before any one machine is late. Nothing new goes there, and no direct start that might float.
   */
  private quietZones(): ReadonlySet<ZoneName> {
    const up = new Map<ZoneName, number>();
    for (const m of this.world?.machines.values() ?? []) {
      if (m.state === 'up' && m.lastReport !== undefined) up.set(m.zone, (up.get(m.zone) ?? 0) + 1);
    }
    const quiet = new Set<ZoneName>();
    for (const [zone, n] of up) {
      if (n < 5) continue;
      const gapMs = (this.d.settings.workers.reportS * 1000) / n;
      const silentMs = this.d.attention.since(this.zoneHeard.get(zone) ?? (0 as SteadyMs));
      if (silentMs > Math.max(1000, 15 * gapMs)) quiet.add(zone);
    }
    return quiet;
  }

  /**
   * A holder that no worker reaches any more, while it holds the store, would let every lease run out: another
   * node may be reached. Judged by all machines together, in far less time than a lease.
   */
  private isDeaf(): boolean {
    const { reportS, leaseS } = this.d.settings.workers;
    let up = 0;
    for (const m of this.world?.machines.values() ?? []) if (m.state === 'up') up++;
    if (up < 2) return false;
    const windowMs = Math.min(leaseS * 400, Math.max(2500, (12_000 * reportS) / up));
    return this.d.attention.since(this.heardAt) > windowMs;
  }

  // ---- direct commands ------------------------------------------------------------------------------

  private ordersFrom = 0 as SteadyMs;

  /**
   * Starts and stops that needn't wait for the next report go to the worker's own address. They may be
   * executed minutes late, so a start whose answer is lost makes the term rise: the worker then obeys a
   * higher token, and what is still on its way is dropped.
   */
  private order(machine: Machine, starts: readonly Placement[], stops: readonly Placement[]): void {
    const { d, world } = this;
    const now = d.clock.now();
    const { address, lastReport, session } = machine;
    if (!world || address === undefined || lastReport === undefined || !machine.trusted) return;
    // A machine that is late with its report is likely to leave the answer open.
    const lively =
      d.attention.since(lastReport) < d.settings.workers.reportS * 1500 && now >= this.ordersFrom;
    if (!lively || this.quiet.has(machine.zone) || !d.term.canDecide() || machine.state !== 'up') return;
    const usable = starts.filter(
      (p) => !p.ended && !p.stop && p.session === session && p.sentSeq === undefined,
    );
    if (usable.length === 0 && stops.length === 0) return;
    const name = (p: Placement) => ({ job: p.job.id, index: p.index, attempt: p.attempt });
    const commands: Command[] = [
      ...stops.map((p): Command => ({ op: 'stop', ...name(p), graceS: p.stop?.graceS ?? 0 })),
      ...usable.map((p): Command => ({ op: 'start', ...name(p) })),
    ];
    for (const p of usable) {
      p.order = 'flying';
      p.orderTerm = this.held.term;
    }
    void this.sendOrder(world, machine, address, usable, encodeCommands(this.held.term, commands, session));
  }

  /** Stops that no worker was told yet. A late stop only ever meets the attempt it was meant for. */
  private orderStops(world: World): void {
    const byMachine = new Map<Machine, Placement[]>();
    for (const p of world.stopping) {
      if (!p.seen) continue;
      world.stopping.delete(p);
      if (!p.stop || p.ended) continue;
      p.stop.ordered = true;
      const list = byMachine.get(p.machine);
      if (list) list.push(p);
      else byMachine.set(p.machine, [p]);
    }
    for (const [machine, stops] of byMachine) this.order(machine, [], stops);
  }

  private async sendOrder(
    world: World,
    machine: Machine,
    address: Address,
    starts: readonly Placement[],
    body: Uint8Array,
  ): Promise<void> {
    const { d } = this;
    const reply = await d.http.call(address, 'POST', Paths.orders, body, ORDER_MS);
    if (!this.live()) return;
    const status = reply.ok ? reply.value.status : 0;
    const report =
      reply.ok && status === 200 ? d.reader.read(reply.value.body ?? new Uint8Array()) : undefined;
    // Only a whole report, a refusal by the worker, or a connection that never stood says what happened.
    const clear =
      report?.ok === true ||
      status === 409 ||
      status === 400 ||
      (!reply.ok && reply.error.kind === 'refused');
    if (!clear && starts.length > 0) {
      // Possibly on its machine until that worker shows it, or obeys a higher token. Only this machine's
      // work is held back by it, so the term need not rise at once.
      for (const p of starts) if (p.order === 'flying' && !p.ended) world.float(p);
      d.log.info('order-unanswered', { machine: machine.id, starts: starts.length, status });
      return;
    }
    for (const p of starts) world.land(p);
    if (report?.ok) handleOrderReply(this.context(world), machine, report.value);
    else if (starts.length > 0) d.log.info('order-refused', { machine: machine.id, status });
    // What was stopped or ended meanwhile is dealt with at the next report.
  }

  // ---- writes ---------------------------------------------------------------------------------------

  private writing = 0;
  private idle: (() => void) | undefined;
  private raising: Promise<void> | undefined;
  private raisedAt = 0 as SteadyMs;
  /** A write's answer was lost: what this holder knows may be behind the store, until the term rises. */
  private unclear = false;

  /** Every write of the holder goes through here: it conditions on the term, and waits while the token rises. */
  private async write(
    conditions: readonly Condition[],
    changes: readonly Change[],
    rank: Rank,
    paid = false,
  ): Promise<Result<TxnOutcome, StoreFailure>> {
    while (this.raising) await this.raising;
    this.writing++;
    try {
      const outcome = await this.d.store.txn(
        [{ key: Keys.holder, mark: this.held.mark }, ...conditions],
        changes,
        rank,
        paid,
      );
      // Removing garbage, or noting images, may come late without harm; all else must be known.
      const harmless = rank === Rank.Garbage;
      if (!outcome.ok && outcome.error.kind === 'unknown' && !harmless) this.unclear = true;
      return outcome;
    } finally {
      if (--this.writing === 0) this.idle?.();
    }
  }

  /**
   * Starts whose answer was lost may run until their worker obeys a higher token. The token rises without a
   * reload: nothing of this holder is on its way to the store meanwhile, and every answer so far was clear, so
   * what it knows is what the store holds.
   */
  private async raise(why: string): Promise<void> {
    if (this.raising) return;
    const { d } = this;
    this.raisedAt = d.clock.now();
    let release: () => void = () => undefined;
    this.raising = new Promise((resolve) => (release = resolve));
    try {
      if (this.writing > 0) await new Promise<void>((resolve) => (this.idle = resolve));
      this.idle = undefined;
      if (!this.live() || this.unclear) return;
      if ((await d.term.raise(why)) && this.world) this.world.term = this.held.term;
    } finally {
      this.raising = undefined;
      release();
    }
  }

  private deaf = 0;

  /** Raises the token when floating starts hold back more than one machine's work, or one for long. */
  private async watchLoop(): Promise<void> {
    const { d } = this;
    const gapMs = d.settings.workers.leaseS * 500;
    while (this.live()) {
      await sleep(d.clock, 500);
      const { world } = this;
      if (!world || !this.live() || !d.term.canDecide()) continue;
      const now = d.clock.now();
      this.deaf = this.isDeaf() ? this.deaf + 1 : 0;
      // Twice in a row: a process that was merely late has read what waited for it in between.
      if (this.deaf > 1) return d.term.standDown('no worker is heard');
      if (now - this.raisedAt < gapMs) continue;
      // A worker that is silent can't acknowledge anything: it is fenced, or its session rises.
      const held = [...world.floating].filter(
        (p) => p.orderTerm === this.held.term && (p.machine.lastReport ?? 0) > p.since + ORDER_MS,
      );
      const machines = new Set(held.map((p) => p.machine));
      if (machines.size === 0) continue;
      if (machines.size < 3 && !held.some((p) => now - p.since > gapMs)) continue;
      await this.raise('starts without an answer');
    }
  }

  // ---- rounds: plan, commit -------------------------------------------------------------------------

  private async roundLoop(): Promise<void> {
    const { d } = this;
    let last = (d.clock.now() - 1000) as SteadyMs;
    while (this.live()) {
      if (!this.dirty) {
        // Time alone changes things too: back-offs end, machines fall silent.
        const timer = d.clock.after(1000, () => this.wakeUp?.());
        await new Promise<void>((resolve) => (this.wakeUp = resolve));
        timer.cancel();
      }
      const records = { waiting: this.world?.garbage.size ?? 0, plans: this.world?.plans.size ?? 0 };
      const wait =
        roundGapMs(this.planMs, d.operator.roundMs, records, d.settings.store.writeRps) -
        (d.clock.now() - last);
      if (wait > 0) await sleep(d.clock, wait);
      if (!this.live()) return;
      this.dirty = false;
      last = d.clock.now();
      if (d.term.canDecide() && d.types.known()) await this.oneRound();
    }
  }

  private within: ReadonlySet<JobId> = new Set();
  private withinAt = -Infinity;
  private quiet: ReadonlySet<ZoneName> = new Set();
  /** How long planning takes, smoothed. */
  private planMs = 0;

  private async oneRound(): Promise<void> {
    const { d, world } = this;
    if (!world) return;
    let waiting = false;
    for (const job of world.jobs.values()) {
      if (job.cancelledAt !== undefined || waitingCount(job) === 0) continue;
      waiting = true;
      break;
    }
    const most = waiting ? ROUND_CHANGES : 0;
    // Paid for first: a round planned before a long wait for the budget would be planned on old news.
    if (most > 0 && !(await d.store.reserve(most, Rank.Round))) {
      this.dirty = true;
      return;
    }
    const used = this.live() ? await this.planAndCommit(world) : 0;
    d.store.unreserve(most - used, Rank.Round);
  }

  /** Returns how many changes it wrote. */
  private async planAndCommit(world: World): Promise<number> {
    const { d } = this;
    const { workers, store } = d.settings;
    const from = d.clock.now();
    this.quiet = this.quietZones();
    if (from - this.withinAt >= WITHIN_MS) {
      this.within = withinGuarantee(world.jobs.values(), d.teams);
      this.withinAt = from;
    }
    const result = planRound({
      within: this.within,
      quietZones: this.quiet,
      now: from,
      world,
      types: d.types.all(),
      teams: d.teams,
      staleMs: workers.reportS * 2500,
      silentMs: (then) => d.attention.since(then),
      maxTasks: d.operator.roundTasks,
      // Four conditions a change; one of them for the term and one each for plan and receipt.
      maxJobs: 4 * store.txnOps - 3,
      preemptAfterMs: 1500,
      estimates: this.estimates,
      aims: this.aims,
    });
    this.unplaced = result.unplaced;
    this.plannedAt = from;
    const now = d.clock.now();
    this.planMs = 0.7 * this.planMs + 0.3 * (now - from);
    for (const s of result.stops) {
      const all = s.placement.job.spec.kind === 'gang' ? s.placement.job.placements.values() : [s.placement];
      for (const p of all) world.stop(p, s.graceS, 'preempted', now);
      d.log.info('task-preempted', {
        task: `${s.placement.job.id}/${s.placement.index}`,
        machine: s.placement.machine.id,
        for: s.forJob,
      });
    }
    this.orderStops(world);
    return result.tasks.length > 0 ? this.commit(world, result.tasks) : 0;
  }

  /** Plan, receipt and rows in one transaction that conditions on the term and on every row's mark. */
  private async commit(world: World, tasks: readonly PlannedTask[]): Promise<number> {
    const { d } = this;
    const round = ++this.round;
    const id = planId(this.held.term, round);
    const attempt = attemptOf(this.held.term, round);
    const { plan, taken } = this.buildPlan(id, attempt, tasks);
    const sealed = seal(plan);
    const jobs = [...new Set(taken.map((t) => t.job))];
    if (jobs.length === 0) return 0;
    const claims = jobs.map((job): Claim => ({ job: job.id, generation: job.row.generation + 1 }));
    const sessions = new Map(taken.map((t) => [t.machine, t.machine.session]));
    for (const m of sessions.keys()) m.rounds++;
    const sent = d.clock.now();
    const outcome = await this.write(
      [
        { key: Keys.plan(id), mark: 0n as Mark },
        { key: Keys.receipt(id), mark: 0n as Mark },
        ...jobs.map((j) => ({ key: Keys.job(j.id), mark: j.mark })),
      ],
      [
        { op: 'put', key: Keys.plan(id), value: sealed },
        {
          op: 'put',
          key: Keys.receipt(id),
          value: seal({ plan: id, sum: sealed.sum, term: this.held.term, claims }),
        },
      ],
      Rank.Round,
      true,
    );
    for (const m of sessions.keys()) m.rounds--;
    if (!this.live()) return ROUND_CHANGES;
    if (!outcome.ok) {
      if (outcome.error.kind === 'unknown') {
        await this.d.term.rise('a round without an answer');
        return ROUND_CHANGES;
      }
      d.log.info('round-not-committed', { plan: id, why: outcome.error.why });
      await sleep(d.clock, jitter(d.random, 200));
      this.dirty = true;
      return ROUND_CHANGES;
    }
    if (outcome.value.kind === 'conflict') {
      await this.conflict(outcome.value.failed, id);
      return ROUND_CHANGES;
    }
    const now = d.clock.now();
    d.metrics.timeMs('round-commit', now - sent);
    world.plans.set(id, { id, open: taken.length, notes: new Set() });
    for (const { job, generation } of claims) {
      const known = world.jobs.get(job);
      if (known) known.row = withGeneration(known.row, generation);
    }
    for (const t of taken) {
      const session = sessions.get(t.machine)!;
      const p = world.place(t.job, t.index, attempt, t.machine, session, id, now);
      if (world.machines.get(t.machine.id) !== t.machine || t.machine.session !== session) {
        world.end(p, 'gone', now);
      } else if (t.job.cancelledAt !== undefined) {
        world.stop(p, 0, 'cancelled', now);
      }
    }
    d.log.info('round-committed', {
      plan: id,
      tasks: taken.length,
      planMs: Math.round(this.planMs),
      jobs: jobs.map((j) => j.id).join(' '),
      machines: [...sessions.keys()].map((m) => m.id).join(' '),
    });
    for (const m of sessions.keys()) {
      this.order(
        m,
        [...m.placements].filter((p) => p.plan === id),
        [],
      );
    }
    this.fleet?.committed([...sessions.keys()]);
    this.dirty = true;
    return ROUND_CHANGES;
  }

  private async conflict(failed: readonly string[], what: string): Promise<void> {
    const { d } = this;
    if (failed.includes(Keys.holder)) return d.term.lose('the fence refused a write');
    d.log.info('commit-conflict', { plan: what, keys: failed.slice(0, 3).join(' ') });
    // A row changed under the round: a cancellation, most likely. Read it and plan again.
    if (!(await d.mirror.sync())) await sleep(d.clock, jitter(d.random, 200));
    this.dirty = true;
  }

  /** As many of the tasks as one stored value holds; a gang whole or not at all. */
  private buildPlan(
    id: Plan['id'],
    attempt: Attempt,
    tasks: readonly PlannedTask[],
  ): { plan: Plan; taken: readonly PlannedTask[] } {
    const byJob = new Map<Job, PlannedTask[]>();
    const named = new Set<string>();
    for (const t of tasks) {
      // Whatever the planner says: a task that is possibly somewhere, or stands in this plan already, is in no plan.
      const name = `${t.job.id}/${t.index}`;
      if (named.has(name) || t.job.placements.has(t.index) || t.job.done.has(t.index)) {
        this.d.log.error('planned-twice', { task: name, machine: t.machine.id });
        continue;
      }
      named.add(name);
      const list = byJob.get(t.job);
      if (list) list.push(t);
      else byJob.set(t.job, [t]);
    }
    for (const [job, list] of byJob) {
      if (job.spec.kind === 'gang' && list.length < job.spec.tasks) byJob.delete(job);
    }
    const jobs: PlanJob[] = [];
    const taken: PlannedTask[] = [];
    // Only sizes are needed until the end: sealing the whole plan again for each job added is quadratic.
    let room = planRoom({ id, term: this.held.term, jobs: [] }, this.d.settings.store.valueKb);
    for (const [job, list] of byJob) {
      let part: readonly PlannedTask[] = list;
      for (;;) {
        const entry = planJob(job, attempt, part);
        const size = planJobSize(entry);
        if (size <= room) {
          room -= size;
          jobs.push(entry);
          taken.push(...part);
          break;
        }
        if (job.spec.kind === 'gang' || part.length <= 1) break;
        part = part.slice(0, Math.floor(part.length / 2));
      }
    }
    return { plan: { id, term: this.held.term, jobs }, taken };
  }

  // ---- finish ---------------------------------------------------------------------------------------

  private async settleLoop(): Promise<void> {
    const { d } = this;
    while (this.live()) {
      const now = d.clock.now();
      const { txnOps, valueKb } = d.settings.store;
      const work =
        this.world && d.term.canDecide()
          ? nextSettlement(this.world, {
              txnOps,
              valueKb,
              note: Keys.note(this.held.term, this.notes + 1),
              gathered: now - this.notedAt >= GATHER_MS,
              prompt: now - this.notedAt >= PROMPT_MS,
              steps: d.pipelines?.settler(this.world, this.held.term),
            })
          : undefined;
      if (!work) {
        const timer = d.clock.after(250, () => this.nudge?.());
        await new Promise<void>((resolve) => (this.nudge = resolve));
        timer.cancel();
        // News of one moment come in several reports.
        await sleep(d.clock, 30);
        continue;
      }
      this.notes++;
      if (work.noted) this.notedAt = now;
      const outcome = await this.write(work.conditions, work.changes, Rank.Finish);
      if (!this.live()) return;
      if (!outcome.ok) {
        if (outcome.error.kind === 'unknown') return d.term.rise('an end without an answer');
        await sleep(d.clock, jitter(d.random, 200));
      } else if (outcome.value.kind === 'conflict') {
        await this.conflict(outcome.value.failed, 'settlement');
        await sleep(d.clock, 30);
      } else {
        const mark = outcome.value.revision as unknown as Mark;
        work.apply(mark);
        if (work.jobs.length > 0)
          d.log.info('ends-committed', { jobs: work.jobs.join(' '), tasks: work.placements });
        this.wake();
        // Ends come in many reports: some company makes fewer and fuller transactions.
        await sleep(d.clock, 100);
      }
    }
  }

  private async garbageLoop(): Promise<void> {
    const { d } = this;
    let behind = false;
    while (this.live()) {
      // The lowest rank: what it takes is only what nobody else wants.
      await sleep(d.clock, behind ? 200 : 1000);
      const { world } = this;
      if (!world || !this.live() || !d.term.canDecide()) continue;
      for (const plan of world.plans.values()) {
        if (plan.open <= 0) world.dropPlan(plan, [Keys.plan(plan.id), Keys.receipt(plan.id)]);
      }
      await this.keepImages(world);
      await this.dropLeftover();
      const keys = [...world.garbage].slice(0, d.settings.store.txnOps);
      behind = world.garbage.size > 2 * keys.length;
      if (keys.length === 0) continue;
      const outcome = await this.write(
        [],
        keys.map((key) => ({ op: 'delete', key })),
        Rank.Garbage,
      );
      // Removing twice does no harm, so a lost answer needs no more than another try.
      if (outcome.ok && outcome.value.kind === 'committed') for (const key of keys) world.garbage.delete(key);
    }
  }

  /**
   * Rows of jobs that have started say so once there is time for it: it is what users are shown, and nothing hangs on it.
   * The state's own loop, and at the lowest rank, since at a burst every change is wanted for what comes next.
   */
  private async stampLoop(): Promise<void> {
    const { d } = this;
    while (this.live()) {
      await sleep(d.clock, STAMP_MS / 2);
      const { world } = this;
      if (!world || !this.live() || !d.term.canDecide()) continue;
      const now = d.clock.now();
      const due: Job[] = [];
      for (const [job, since] of world.unstamped) {
        if (due.length >= d.settings.store.txnOps || now - since < STAMP_MS) break;
        if (job.cancelledAt === undefined && world.jobs.get(job.id) === job) due.push(job);
        else world.unstamped.delete(job);
      }
      if (due.length > 0) await this.stamp(world, due);
    }
  }

  private async stamp(world: World, jobs: readonly Job[]): Promise<void> {
    const { d } = this;
    const rows = jobs.map((job): Row => ({
      ...job.row,
      state: 'running',
      term: this.held.term,
      done: job.done.count,
    }));
    const outcome = await this.write(
      jobs.map((j) => ({ key: Keys.job(j.id), mark: j.mark })),
      jobs.map((j, i) => ({ op: 'put', key: Keys.job(j.id), value: seal(rows[i]) })),
      Rank.Garbage,
    );
    if (!this.live() || !outcome.ok) return;
    if (outcome.value.kind === 'conflict') return this.conflict(outcome.value.failed, 'stamps');
    const mark = outcome.value.revision as unknown as Mark;
    jobs.forEach((job, i) => {
      world.unstamped.delete(job);
      // A cancellation may have been written, and heard of, between this commit and its answer.
      if (mark < job.mark) return;
      job.mark = mark;
      job.row = withGeneration(rows[i]!, job.row.generation);
      d.mirror.wrote(job.id, job.row, mark);
    });
  }

  private async dropLeftover(): Promise<void> {
    const { d } = this;
    const left = d.pipelines?.leftover(d.settings.store.txnOps);
    if (!left) return;
    const outcome = await this.write(left.conditions, left.changes, Rank.Garbage);
    if (outcome.ok && outcome.value.kind === 'committed')
      d.log.info('acceptance-collected', { pipeline: left.what });
    else if (outcome.ok) await d.mirror.sync();
  }

  private imagesAt = 0 as SteadyMs;

  /**
   * Which images are where is written down now and then, many machines in one record: a successor that had to
   * guess would send every start to a cold machine. Only a hint, so nothing is lost when it is old or left out.
   */
  private async keepImages(world: World): Promise<void> {
    const { d } = this;
    const now = d.clock.now();
    if (!world.imagesChanged || now - this.imagesAt < IMAGES_MS) return;
    this.imagesAt = now;
    world.imagesChanged = false;
    const records = imageRecords(world.machines.values(), d.settings.store.valueKb);
    const changes: Change[] = records
      .slice(0, d.settings.store.txnOps)
      .map((value, i) => ({ op: 'put', key: Keys.images(i), value }));
    if (changes.length > 0) await this.write([], changes, Rank.Garbage);
  }
}

/** The machines of each image, packed into as few records as hold them. */
export function imageRecords(machines: Iterable<Machine>, valueKb: number): Sealed[] {
  const byImage = new Map<string, { gb: number; on: MachineId[] }>();
  for (const m of machines) {
    for (const [name, gb] of m.images) {
      const entry = byImage.get(name);
      if (entry) entry.on.push(m.id);
      else byImage.set(name, { gb, on: [m.id] });
    }
  }
  const out: Sealed[] = [];
  let part: ImageNote[] = [];
  let size = 0;
  const limit = valueKb * 1024 - 256;
  const close = (): void => {
    if (part.length > 0) out.push(seal({ images: part }));
    part = [];
    size = 0;
  };
  for (const [name, { gb, on }] of byImage) {
    for (let i = 0; i < on.length;) {
      const head = name.length + 40;
      if (size + head + 32 > limit) close();
      const each = on[i]!.length + 3;
      const n = Math.max(1, Math.min(on.length - i, Math.floor((limit - size - head) / each)));
      part.push({ name, gb, on: on.slice(i, i + n) });
      size += head + n * each;
      i += n;
    }
  }
  close();
  return out;
}

function planJob(job: Job, attempt: Attempt, tasks: readonly PlannedTask[]): PlanJob {
  const byMachine = new Map<Machine, number[]>();
  for (const t of tasks) {
    const list = byMachine.get(t.machine);
    if (list) list.push(t.index);
    else byMachine.set(t.machine, [t.index]);
  }
  return {
    job: job.id,
    attempt,
    on: [...byMachine].map(([m, indices]): PlanGroup => ({
      machine: m.id,
      session: m.session,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      tasks: rangesOf(indices),
    })),
  };
}
