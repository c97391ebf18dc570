import type { Clock } from '../../transport/clock.js';
import type { Reply, Route } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import { Rank } from '../../transport/budget.js';
import { decodeAs, encode } from '../../protocol/codec.js';
import {
  NO_MARK,
  PIPELINE_ID,
  type JobId,
  type Mark,
  type PipelineId,
  type StoreKey,
  type TeamName,
  type Term,
} from '../../protocol/ids.js';
import { encodeError, encodeJobAnswer, type JobSpec } from '../../protocol/jobs.js';
import {
  encodeFaults,
  encodePipelineAnswer,
  pipelineSubmission,
  type PipelineSpec,
  type PipelineState,
  type StepAnswer,
  type StepFault,
  type StepState,
} from '../../protocol/pipelines.js';
import type { Condition } from '../../protocol/state.js';
import type { Settings } from '../../protocol/settings.js';
import { F, PipelinePaths, type JobState } from '../../protocol/wire.js';
import type { Mirror } from '../../bookkeeping/mirror.js';
import type { Pipeline, PipelineBook, StepPlace } from '../../bookkeeping/pipeline-book.js';
import {
  NO_PROGRESS,
  packParts,
  PipelineKeys,
  pipelineEndSchema,
  pipelineSum,
  sealHead,
  type PipelineEnd,
  type PipelineHead,
} from '../../bookkeeping/pipeline-records.js';
import { Keys, seal, unseal, type EndRecord, type Sealed } from '../../bookkeeping/records.js';
import type { Store } from '../../bookkeeping/store.js';
import type { Peers } from '../peers.js';
import { isHeld, isOver, startsLater, waitsFor } from './progress.js';
import { structureFaults } from './structure.js';

export interface PipelineLimits {
  /** Most steps of one pipeline, live pipelines of one team, and held steps in all. */
  readonly steps: number;
  readonly perTeam: number;
  readonly held: number;
}

export interface PipelineUsersDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: Store;
  readonly mirror: Mirror;
  readonly book: PipelineBook;
  readonly peers: Peers;
  readonly settings: Settings;
  readonly limits: PipelineLimits;
  /** Why a job could never run; undefined where it may. The same check, and the same words, as for a job alone. */
  readonly neverRuns: (spec: JobSpec) => string | undefined;
  /** Whether that can be told yet, and the state service is there. */
  readonly ready: () => string | undefined;
  readonly running: (id: JobId) => boolean;
}

const refuse = (status: number, message: string): Reply => ({ status, body: encodeError(message) });
const later = (why: string, s = 1): Reply => ({
  status: 503,
  body: encodeError(why),
  headers: { 'retry-after': String(s) },
});

/** Whether a step's job, as far as its pipeline says, is known to users, and as what. */
export type HeldState = { readonly state: JobState; readonly done: number } | 'pending' | undefined;

/** Bytes of one transaction that the state service takes, with some room for its own framing. */
const TXN_BYTES = 60 * 1024;
const ANSWER_BYTES = 56 * 1024;
const KEEP_ENDS = 5000;
const TRIES = 4;

/** The users' side of pipelines: any node accepts, shows and cancels them, straight to the store. */
export class PipelineUsers {
  private readonly ends = new Map<PipelineId, PipelineEnd>();

  constructor(private readonly d: PipelineUsersDeps) {}

  get routes(): readonly Route[] {
    const id = (params: Readonly<Record<string, string>>): string => params['id'] ?? '';
    return [
      { method: 'POST', path: PipelinePaths.check, handle: (_, body) => this.check(body) },
      { method: 'POST', path: PipelinePaths.all, handle: (_, body) => this.submit(body) },
      { method: 'GET', path: PipelinePaths.one, handle: (params) => this.show(id(params), 0) },
      {
        method: 'GET',
        path: PipelinePaths.from,
        handle: (params) => this.show(id(params), Number(params['from']) || 0),
      },
      { method: 'POST', path: PipelinePaths.cancel, handle: (params) => this.cancel(id(params)) },
      {
        method: 'POST',
        path: PipelinePaths.retry,
        handle: (params) => this.retry(id(params), params['job'] ?? ''),
      },
    ];
  }

  // ---- submit -----------------------------------------------------------------------------------------

  /** What would be said to a submission, and nothing is written. */
  private check(body: Uint8Array): Reply {
    const found = this.judge(body);
    if ('status' in found) return found;
    return { status: 200, body: encode({ [F.id]: found.id, [F.count]: found.steps.length }) };
  }

  /** A pipeline that could be taken, or the refusal. */
  private judge(body: Uint8Array): PipelineSpec | Reply {
    const parsed = decodeAs(pipelineSubmission, body);
    if (!parsed.ok) return refuse(400, parsed.error);
    const p = parsed.value;
    const broken = structureFaults(p);
    if (broken.length > 0) return { status: 400, body: encodeFaults('the pipeline is malformed', broken) };
    if (p.steps.length > this.d.limits.steps) {
      return refuse(422, `a pipeline may have ${this.d.limits.steps} steps, this one has ${p.steps.length}`);
    }
    const wait = this.d.ready();
    if (wait !== undefined) return later(wait);
    const never = p.steps.flatMap((s): StepFault[] => {
      const what = this.d.neverRuns(s.job);
      return what === undefined ? [] : [{ step: s.name, what }];
    });
    if (never.length > 0) return { status: 422, body: encodeFaults('steps can never run', never) };
    return p;
  }

  private async submit(body: Uint8Array): Promise<Reply> {
    const { d } = this;
    const from = d.clock.now();
    const reply = await this.accept(body);
    d.metrics.timeMs('pipeline-submit', d.clock.now() - from);
    d.metrics.count(`pipeline-submit-${reply.status}`);
    return reply;
  }

  private async accept(body: Uint8Array): Promise<Reply> {
    const { d } = this;
    const parsed = decodeAs(pipelineSubmission, body);
    if (!parsed.ok) return refuse(400, parsed.error);
    const sum = pipelineSum(parsed.value);
    const { id } = parsed.value;
    for (let tries = 0; tries < TRIES; tries++) {
      if (!(await d.mirror.sync())) return later('the state service did not answer');
      const known = d.book.headOf(id);
      if (known && known.value.sum !== sum) return refuse(409, `another pipeline is called '${id}'`);
      if (known?.value.state === 'live') return this.show(id, 0);
      if (!known) {
        const end = await this.readEnd(id);
        if (end === 'unreachable') return later('the state service did not answer');
        if (end)
          return end.sum === sum ? this.endReply(end) : refuse(409, `another pipeline was called '${id}'`);
      }
      // A repeat of an accepted pipeline is never refused, whatever became of types and limits since; so only now.
      const found = this.judge(body);
      if ('status' in found) return found;
      const full = this.full(found);
      if (full) return full;
      const reply = await this.write(found, sum, known);
      if (reply) return reply;
    }
    return later('the pipeline is changing');
  }

  private full(p: PipelineSpec): Reply | undefined {
    const { limits } = this.d;
    const teams = new Set<TeamName>(p.steps.map((s) => s.job.team));
    let held = 0;
    const perTeam = new Map<TeamName, number>();
    for (const other of this.d.book.all()) {
      if (other.id === p.id) continue;
      other.steps.forEach((_, i) => (held += isHeld(other.head.progress, i) ? 1 : 0));
      for (const team of new Set(other.steps.map((s) => s.job.team)))
        perTeam.set(team, (perTeam.get(team) ?? 0) + 1);
    }
    const busy = (why: string): Reply => ({
      status: 429,
      body: encodeError(why),
      headers: { 'retry-after': '10' },
    });
    for (const team of teams) {
      if ((perTeam.get(team) ?? 0) >= limits.perTeam) {
        return busy(`team '${team}' has ${limits.perTeam} live pipelines, which is its limit`);
      }
    }
    if (held + p.steps.length > limits.held)
      return busy(`${held} steps are held, and the limit is ${limits.held}`);
    return undefined;
  }

  /** Undefined: what was seen has changed meanwhile, and the whole is to be looked at again. */
  private async write(
    p: PipelineSpec,
    sum: string,
    pending: { readonly value: PipelineHead; readonly mark: Mark } | undefined,
  ): Promise<Reply | undefined> {
    const { d } = this;
    const { txnOps, valueKb } = d.settings.store;
    const parts = packParts(p, valueKb, d.clock.wall());
    if (!parts.ok) return refuse(422, parts.error);
    if (pending) return this.confirm(p, pending.value, pending.mark);
    const clash = this.clashes(p);
    if (clash) return clash;
    const head = this.headOf(p, sum, parts.value);
    const idConditions = p.steps.flatMap((s): Condition[] => [
      { key: Keys.job(s.job.id), mark: NO_MARK },
      { key: Keys.end(s.job.id), mark: NO_MARK },
    ]);
    const conditions: Condition[] = [
      { key: PipelineKeys.head(p.id), mark: NO_MARK },
      { key: PipelineKeys.end(p.id), mark: NO_MARK },
      { key: PipelineKeys.epoch, mark: d.book.epoch },
    ];
    const bytes = parts.value.reduce((n, s) => n + JSON.stringify(s).length, 0);
    const atOnce =
      parts.value.length + 2 <= txnOps &&
      bytes <= TXN_BYTES - 4096 &&
      conditions.length + parts.value.length + idConditions.length <= 4 * txnOps;
    if (atOnce) return this.writeAtOnce(p, head, parts.value, [...conditions, ...idConditions]);
    return this.writeInSteps(p, head, parts.value, conditions);
  }

  private async writeAtOnce(
    p: PipelineSpec,
    head: PipelineHead,
    parts: readonly Sealed[],
    conditions: readonly Condition[],
  ): Promise<Reply | undefined> {
    const live: PipelineHead = { ...head, state: 'live' };
    const outcome = await this.d.store.txn(
      [...conditions, ...parts.map((_, n) => ({ key: PipelineKeys.part(p.id, n), mark: NO_MARK }))],
      [
        { op: 'put', key: PipelineKeys.head(p.id), value: sealHead(live) },
        { op: 'put', key: PipelineKeys.epoch, value: seal({ pipeline: p.id }) },
        ...parts.map((value, n) => ({ op: 'put' as const, key: PipelineKeys.part(p.id, n), value })),
      ],
      Rank.User,
    );
    if (!outcome.ok) return later('the state service did not take it');
    if (outcome.value.kind === 'committed') return this.accepted(p);
    return this.taken(p, outcome.value.failed);
  }

  /**
   * More than one transaction holds: parts first, then a head that reserves the ids and turns the epoch, then a look at all
   * ids, and only then the head that accepts. What an interruption leaves at any point is taken up by a repeat of the
   * submission at any node, or collected.
   */
  private async writeInSteps(
    p: PipelineSpec,
    head: PipelineHead,
    parts: readonly Sealed[],
    conditions: readonly Condition[],
  ): Promise<Reply | undefined> {
    const { d } = this;
    const there = d.book.partSums(p.id);
    const { txnOps, valueKb } = d.settings.store;
    const each = Math.max(1, Math.min(txnOps, Math.floor(TXN_BYTES / (valueKb * 1024))));
    const missing = parts.map((value, n) => ({ value, n })).filter(({ n }) => !there.has(n));
    for (let i = 0; i < missing.length; i += each) {
      const some = missing.slice(i, i + each);
      const outcome = await d.store.txn(
        some.map(({ n }) => ({ key: PipelineKeys.part(p.id, n), mark: NO_MARK })),
        some.map(({ value, n }) => ({ op: 'put', key: PipelineKeys.part(p.id, n), value })),
        Rank.User,
      );
      if (!outcome.ok) return later('the state service did not take it');
    }
    if (!(await d.mirror.sync())) return later('the state service did not answer');
    // Parts are what this or an earlier try wrote; their own checksums go into the head.
    const sums = d.book.partSums(p.id);
    if (parts.some((_, n) => !sums.has(n))) return undefined;
    if (!d.book.matches(p, parts.length)) {
      return later('parts of another submission of this name are being collected', 30);
    }
    const pending: PipelineHead = { ...head, state: 'pending', parts: parts.map((_, n) => sums.get(n)!) };
    const outcome = await d.store.txn(
      [...conditions.slice(0, 2), { key: PipelineKeys.epoch, mark: d.book.epoch }],
      [
        { op: 'put', key: PipelineKeys.head(p.id), value: sealHead(pending) },
        { op: 'put', key: PipelineKeys.epoch, value: seal({ pipeline: p.id }) },
      ],
      Rank.User,
    );
    if (!outcome.ok) return later('the state service did not take it');
    if (outcome.value.kind !== 'committed') return undefined;
    return this.confirm(p, pending, outcome.value.revision as unknown as Mark);
  }

  /** The ids are reserved: whoever takes a job knows of it. What took one before is seen from here on. */
  private async confirm(p: PipelineSpec, pending: PipelineHead, mark: Mark): Promise<Reply | undefined> {
    const { d } = this;
    if (!(await d.mirror.sync())) return later('the state service did not answer');
    const clash = this.clashes(p) ?? (await this.endedIds(p));
    if (clash) {
      const removed = await d.store.txn(
        [{ key: PipelineKeys.head(p.id), mark }],
        [{ op: 'delete', key: PipelineKeys.head(p.id) }],
        Rank.User,
      );
      return removed.ok ? clash : later('the state service did not take it');
    }
    const live: PipelineHead = { ...pending, state: 'live' };
    const outcome = await d.store.txn(
      [{ key: PipelineKeys.head(p.id), mark }],
      [{ op: 'put', key: PipelineKeys.head(p.id), value: sealHead(live) }],
      Rank.User,
    );
    if (!outcome.ok) return later('the state service did not take it');
    return outcome.value.kind === 'committed' ? this.accepted(p) : undefined;
  }

  private accepted(p: PipelineSpec): Reply {
    this.d.log.info('pipeline-accepted', { pipeline: p.id, steps: p.steps.length });
    void this.d.mirror.sync();
    return {
      status: 201,
      body: encodePipelineAnswer({
        id: p.id,
        state: 'held',
        steps: p.steps.length,
        done: 0,
        list: [],
        more: true,
      }),
    };
  }

  private headOf(p: PipelineSpec, sum: string, parts: readonly Sealed[]): PipelineHead {
    return {
      id: p.id,
      sum,
      parts: parts.map((s) => s.sum),
      steps: p.steps.length,
      state: 'pending',
      acceptedAt: this.d.clock.wall(),
      startMs: p.startMs,
      missed: p.missed,
      lateS: p.lateS,
      onCancel: p.onCancel,
      cancelledAt: null,
      generation: 0,
      term: 0n as Term,
      progress: NO_PROGRESS,
    };
  }

  /** Ids that are rows, or steps of other pipelines, as far as this node's copy knows. */
  private clashes(p: PipelineSpec): Reply | undefined {
    const faults = p.steps.flatMap((s): StepFault[] => {
      const other = this.d.book.stepOf(s.job.id);
      const taken = this.d.mirror.get(s.job.id) !== undefined || (other && other.pipeline.id !== p.id);
      return taken ? [{ step: s.name, what: `the id ${s.job.id} is taken by another job` }] : [];
    });
    return faults.length > 0 ? { status: 409, body: encodeFaults('ids are taken', faults) } : undefined;
  }

  /** Ids of jobs that are over: many are asked for by one transaction that only compares. */
  private async endedIds(p: PipelineSpec): Promise<Reply | undefined> {
    const { d } = this;
    const most = 4 * d.settings.store.txnOps;
    for (let i = 0; i < p.steps.length; i += most) {
      const some = p.steps.slice(i, i + most);
      const outcome = await d.store.txn(
        some.map((s) => ({ key: Keys.end(s.job.id), mark: NO_MARK })),
        [],
        Rank.User,
      );
      if (!outcome.ok) return later('the state service did not answer');
      if (outcome.value.kind === 'conflict') return this.takenBy(p, outcome.value.failed);
    }
    return undefined;
  }

  private takenBy(p: PipelineSpec, failed: readonly StoreKey[]): Reply | undefined {
    const keys = new Set(failed);
    const faults = p.steps
      .filter((s) => keys.has(Keys.job(s.job.id)) || keys.has(Keys.end(s.job.id)))
      .map((s): StepFault => ({ step: s.name, what: `the id ${s.job.id} is taken by another job` }));
    return faults.length > 0 ? { status: 409, body: encodeFaults('ids are taken', faults) } : undefined;
  }

  /** A conflict on the pipeline's own keys means another try was faster; on ids, that they are taken. */
  private taken(p: PipelineSpec, failed: readonly StoreKey[]): Reply | undefined {
    const own: readonly StoreKey[] = [PipelineKeys.head(p.id), PipelineKeys.end(p.id), PipelineKeys.epoch];
    if (failed.some((k) => own.includes(k))) return undefined;
    return this.takenBy(p, failed);
  }

  // ---- show -------------------------------------------------------------------------------------------

  private async readEnd(id: PipelineId): Promise<PipelineEnd | undefined | 'unreachable'> {
    const known = this.ends.get(id);
    if (known) return known;
    const entry = await this.d.store.get(PipelineKeys.end(id), Rank.User);
    if (!entry.ok) return 'unreachable';
    if (!entry.value) return undefined;
    const end = unseal(pipelineEndSchema, entry.value.value);
    if (!end.ok) {
      this.d.log.error('end-record-unreadable', { pipeline: id, why: end.error });
      return 'unreachable';
    }
    this.ends.set(id, end.value);
    if (this.ends.size > KEEP_ENDS) this.ends.delete(this.ends.keys().next().value!);
    return end.value;
  }

  private endReply(end: PipelineEnd): Reply {
    const { id, state, steps, done } = end;
    return { status: 200, body: encodePipelineAnswer({ id, state, steps, done, list: [], more: false }) };
  }

  private async show(text: string, from: number): Promise<Reply> {
    if (!PIPELINE_ID.test(text)) return refuse(404, 'no such pipeline');
    const id = text as PipelineId;
    if (!(await this.d.mirror.sync())) return later('the state service did not answer');
    const pipeline = this.d.book.get(id);
    if (pipeline?.head.state === 'pending') return later('the pipeline is being accepted');
    if (pipeline) return this.liveReply(pipeline, from);
    const end = await this.readEnd(id);
    if (end === 'unreachable') return later('the state service did not answer');
    return end ? this.endReply(end) : refuse(404, 'no such pipeline');
  }

  private liveReply(pipeline: Pipeline, from: number): Reply {
    const { progress } = pipeline.head;
    const list: StepAnswer[] = [];
    let size = 0;
    let more = false;
    for (let i = Math.max(0, from); i < pipeline.steps.length; i++) {
      const step = this.stepAnswer(pipeline, i);
      size += step.name.length + step.waitsFor.join(',').length + (step.why?.length ?? 0) + 64;
      if (size > ANSWER_BYTES) {
        more = true;
        break;
      }
      list.push(step);
    }
    const { id, steps } = pipeline;
    const state = this.stateOf(pipeline);
    return {
      status: 200,
      body: encodePipelineAnswer({ id, state, steps: steps.length, done: progress.done.size, list, more }),
    };
  }

  private stateOf(pipeline: Pipeline): PipelineState {
    const { cancelledAt, progress } = pipeline.head;
    if (cancelledAt !== null) return 'cancelled';
    return progress.released.size > 0 ? 'running' : 'held';
  }

  private stepAnswer(pipeline: Pipeline, i: number): StepAnswer {
    const { progress } = pipeline.head;
    const step = pipeline.steps[i]!;
    const name = (n: number): string => pipeline.steps[n]!.name;
    const waits = isHeld(progress, i) ? waitsFor(pipeline, i) : [];
    const stuck = waits.find((n) => progress.cancelled.has(n));
    const why = isHeld(progress, i)
      ? startsLater(pipeline, this.d.clock.wall())
        ? `starts at ${new Date(pipeline.head.startMs!).toISOString()}`
        : stuck !== undefined
          ? `'${name(stuck)}' was cancelled`
          : null
      : progress.failed.has(i)
        ? `given up after ${progress.failures.get(i) ?? 0} failures`
        : null;
    return {
      name: step.name,
      job: step.job.id,
      state: this.stepState(pipeline, i),
      waitsFor: waits.slice(0, 5).map(name),
      why,
    };
  }

  private stepState(pipeline: Pipeline, i: number): StepState {
    const { progress, cancelledAt } = pipeline.head;
    if (progress.done.has(i)) return 'done';
    if (progress.cancelled.has(i) || cancelledAt !== null) return 'cancelled';
    if (progress.failed.has(i)) return 'failed';
    if (!progress.released.has(i)) return 'held';
    const { id } = pipeline.steps[i]!.job;
    const row = this.d.mirror.get(id)?.row.state;
    if (row === 'cancelled') return 'cancelled';
    return row === 'running' || this.d.running(id) ? 'running' : 'queued';
  }

  // ---- cancel, retry ----------------------------------------------------------------------------------

  /**
   * One write of the head cancels the whole pipeline: from then on nothing of it is released, and every node says so of each
   * of its jobs that isn't done. The holder stops what runs, by the same watch that brings it single cancellations.
   */
  private async cancel(text: string): Promise<Reply> {
    if (!PIPELINE_ID.test(text)) return refuse(404, 'no such pipeline');
    const id = text as PipelineId;
    return this.change(id, (pipeline) => {
      const cancelledAt = pipeline.head.cancelledAt ?? this.d.clock.wall();
      return { ...pipeline.head, cancelledAt };
    }).then((reply) => reply ?? this.cancelledReply(id));
  }

  private async cancelledReply(id: PipelineId): Promise<Reply> {
    const pipeline = this.d.book.get(id);
    if (pipeline) {
      const { progress } = pipeline.head;
      for (const i of progress.released) {
        if (!isOver(progress, i)) this.d.peers.noteCancelled(pipeline.steps[i]!.job.id);
      }
      this.d.log.info('pipeline-cancelled', { pipeline: id });
      return this.liveReply(pipeline, 0);
    }
    return this.show(id, 0);
  }

  /** A step that was given up is tried anew, its failures forgotten. */
  private async retry(text: string, job: string): Promise<Reply> {
    if (!PIPELINE_ID.test(text)) return refuse(404, 'no such pipeline');
    const id = text as PipelineId;
    let known = true;
    const reply = await this.change(id, (pipeline) => {
      const i = pipeline.steps.findIndex((s) => s.job.id === job || s.name === job);
      known = i >= 0;
      if (!pipeline.head.progress.failed.has(i)) return undefined;
      const { progress } = pipeline.head;
      const failed = new Set(progress.failed);
      const failures = new Map(progress.failures);
      failed.delete(i);
      failures.delete(i);
      return { ...pipeline.head, progress: { ...progress, failed, failures } };
    });
    if (!known) return refuse(404, 'no such step');
    return reply ?? this.show(id, 0);
  }

  /**
   * Rewrites the head as long as it is what it was thought to be; undefined once it is as wanted. The new head is entered
   * here before anybody is told.
   */
  private async change(
    id: PipelineId,
    next: (pipeline: Pipeline) => PipelineHead | undefined,
  ): Promise<Reply | undefined> {
    const { d } = this;
    for (let tries = 0; tries < TRIES; tries++) {
      if (!(await d.mirror.sync())) return later('the state service did not answer');
      const pipeline = d.book.get(id);
      if (!pipeline) {
        const end = await this.readEnd(id);
        if (end === 'unreachable') return later('the state service did not answer');
        return end ? this.endReply(end) : refuse(404, 'no such pipeline');
      }
      if (pipeline.head.state === 'pending') return later('the pipeline is being accepted');
      const wanted = next(pipeline);
      if (!wanted) return undefined;
      if (wanted.cancelledAt !== null && pipeline.head.cancelledAt !== null) return undefined;
      const head: PipelineHead = { ...wanted, generation: wanted.generation + 1 };
      const outcome = await d.store.txn(
        [{ key: PipelineKeys.head(id), mark: pipeline.mark }],
        [{ op: 'put', key: PipelineKeys.head(id), value: sealHead(head) }],
        Rank.User,
      );
      if (!outcome.ok) return later('the state service did not take it');
      if (outcome.value.kind === 'committed') {
        d.book.wrote(head, outcome.value.revision as unknown as Mark);
        return undefined;
      }
    }
    return later('the pipeline is changing');
  }

  // ---- steps as jobs ------------------------------------------------------------------------------------

  /** Whoever takes a job conditions on this: no pipeline was accepted that this node doesn't know. */
  epochCondition(): Condition {
    return { key: PipelineKeys.epoch, mark: this.d.book.epoch };
  }

  /** What a step's user is to be told of its job, where its row doesn't say it. */
  jobState(id: JobId): HeldState {
    const at = this.d.book.stepOf(id);
    if (!at) return undefined;
    const { head, steps } = at.pipeline;
    if (head.state === 'pending') return 'pending';
    const { progress, cancelledAt } = head;
    if (progress.done.has(at.index)) return { state: 'done', done: steps[at.index]!.job.tasks };
    if (progress.cancelled.has(at.index) || cancelledAt !== null) return { state: 'cancelled', done: 0 };
    return { state: 'queued', done: 0 };
  }

  /** Cancels a held step; undefined where it isn't held any more, and its row or end says what it is. */
  async cancelHeld(id: JobId): Promise<Reply | undefined> {
    const { d } = this;
    for (let tries = 0; tries < TRIES; tries++) {
      const at = d.book.stepOf(id);
      if (!at) return undefined;
      const said = this.jobState(id);
      if (said === 'pending') return later('the pipeline is being accepted');
      if (said?.state === 'done' || said?.state === 'cancelled') {
        return { status: 200, body: encodeJobAnswer({ id, state: said.state }) };
      }
      if (!isHeld(at.pipeline.head.progress, at.index)) return undefined;
      const reply = await this.withdraw(at, id);
      if (reply) return reply;
      if (!(await d.mirror.sync())) return later('the state service did not answer');
    }
    return later('the pipeline is changing');
  }

  private async withdraw(at: StepPlace, id: JobId): Promise<Reply | undefined> {
    const { d } = this;
    const { head, mark } = at.pipeline;
    const progress = { ...head.progress, cancelled: new Set([...head.progress.cancelled, at.index]) };
    const next: PipelineHead = { ...head, progress, generation: head.generation + 1 };
    const end: EndRecord = { state: 'cancelled', done: 0 };
    const outcome = await d.store.txn(
      [
        { key: PipelineKeys.head(head.id), mark },
        { key: Keys.job(id), mark: NO_MARK },
      ],
      [
        { op: 'put', key: PipelineKeys.head(head.id), value: sealHead(next) },
        { op: 'put', key: Keys.end(id), value: seal(end) },
      ],
      Rank.User,
    );
    if (!outcome.ok) return later('the state service did not take it');
    if (outcome.value.kind !== 'committed') return undefined;
    d.book.wrote(next, outcome.value.revision as unknown as Mark);
    d.log.info('step-cancelled', { pipeline: head.id, job: id });
    return { status: 200, body: encodeJobAnswer({ id, state: 'cancelled' }) };
  }
}
