import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { Route } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import type { JobId, PipelineId, Term } from '../../protocol/ids.js';
import type { Change, Condition } from '../../protocol/state.js';
import { PipelineBook } from '../../bookkeeping/pipeline-book.js';
import { PipelineKeys } from '../../bookkeeping/pipeline-records.js';
import type { PipelinesWorld } from '../views.js';
import type { StepSettler } from '../settling/settle.js';
import { PipelineUsers, type PipelineUsersDeps } from './users.js';
import { PipelineSettler } from './settler.js';
import { isOver, startsLater, waitsFor } from './progress.js';

/** What an acceptance that was broken off left behind is collected after this long. */
export const LEFTOVER_MS = 120_000;
/** Share of the write rate that releases may take beside those that go with an end. */
const RELEASE_SHARE = 0.3;

export interface PipelinesDeps extends Omit<PipelineUsersDeps, 'book'> {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** All that a node does for pipelines; only there where the operator enabled them. */
export class Pipelines {
  readonly book: PipelineBook;
  readonly users: PipelineUsers;
  private world: PipelinesWorld | undefined;
  private wake: () => void = () => undefined;
  private onCancelled: (id: JobId) => void = () => undefined;
  private counted = new Map<JobId, number>();
  private readySince = new Map<JobId, SteadyMs>();
  private spare = 0;
  private spareAt: SteadyMs;

  constructor(private readonly d: PipelinesDeps) {
    this.book = new PipelineBook(d.log);
    this.users = new PipelineUsers({ ...d, book: this.book });
    this.spareAt = d.clock.now();
    d.mirror.guest = this.book;
    this.book.onChange = (id) => this.changed(id);
    d.metrics.gauge('pipelines', () => this.book.size);
  }

  get routes(): readonly Route[] {
    return this.users.routes;
  }

  // ---- the holder's side ------------------------------------------------------------------------------

  /** A term begins: what is kept of an earlier one counts no more. */
  serve(world: PipelinesWorld, wake: () => void, onCancelled: (id: JobId) => void): void {
    this.world = world;
    this.wake = wake;
    this.onCancelled = onCancelled;
    this.counted = new Map();
    this.readySince = new Map();
    for (const p of this.book.all()) {
      this.book.dirty.add(p.id);
      this.changed(p.id);
    }
  }

  stop(world: PipelinesWorld | undefined): void {
    if (this.world === world) this.world = undefined;
  }

  /** A row that the holder has just heard of may belong to a step whose pipeline was cancelled or which was given up. */
  rowSeen(id: JobId): void {
    const step = this.book.stepOf(id);
    if (step) this.changed(step.pipeline.id);
  }

  private changed(id: PipelineId): void {
    const { world } = this;
    const pipeline = this.book.get(id);
    if (!pipeline) return;
    const { progress, cancelledAt } = pipeline.head;
    // Every node knows what its copy of the head says, holder or not.
    if (cancelledAt !== null) {
      for (const i of progress.released)
        if (!isOver(progress, i)) this.d.cancelled.note(pipeline.steps[i]!.job.id);
    }
    if (!world) return;
    for (const i of progress.released) {
      if (isOver(progress, i)) continue;
      const job = world.jobs.get(pipeline.steps[i]!.job.id);
      if (!job) continue;
      const parked = progress.failed.has(i);
      if (job.parked && !parked) job.notBefore = 0 as SteadyMs;
      job.parked = parked;
      const tries = progress.failures.get(i) ?? 0;
      if (tries > 0 && !parked) this.backOff(job.id, tries, pipeline.steps[i]!.backoffS);
      if (cancelledAt !== null && job.cancelledAt === undefined) this.onCancelled(job.id);
    }
    this.wake();
  }

  /** Later than the service's own back-off if the file says so, never sooner. */
  private backOff(id: JobId, tries: number, backoffS: number): void {
    const job = this.world?.jobs.get(id);
    if (!job || this.backedOff.get(id) === tries) return;
    this.backedOff.set(id, tries);
    if (this.backedOff.size > 10_000) this.backedOff.delete(this.backedOff.keys().next().value!);
    const until = this.d.clock.now() + Math.min(3600, backoffS * 2 ** Math.min(20, tries - 1)) * 1000;
    if (until > job.notBefore) job.notBefore = until as SteadyMs;
  }
  private readonly backedOff = new Map<JobId, number>();

  settler(world: PipelinesWorld, term: Term): StepSettler | undefined {
    const { d } = this;
    if (this.book.size === 0) return undefined;
    const now = d.clock.now();
    const { writeRps, txnOps } = d.settings.store;
    this.spare = Math.min(txnOps, this.spare + ((now - this.spareAt) / 1000) * RELEASE_SHARE * writeRps);
    this.spareAt = now;
    return new PipelineSettler({
      book: this.book,
      world,
      term,
      log: d.log,
      metrics: d.metrics,
      wall: d.clock.wall(),
      now,
      spare: Math.floor(this.spare),
      spent: (n) => (this.spare = Math.max(0, this.spare - n)),
      counted: this.counted,
      readySince: this.readySince,
    });
  }

  /**
   * What interrupted acceptances left: parts without a head, and reserved ids that nobody confirmed. Each is removed on the
   * condition that it is still what was seen, so an acceptance that goes on after all loses and is told to try again.
   */
  leftover(
    most: number,
  ): { readonly conditions: Condition[]; readonly changes: Change[]; readonly what: string } | undefined {
    const before = this.d.clock.wall() - LEFTOVER_MS;
    for (const { id, parts } of this.book.headless()) {
      if (parts.some((p) => p.writtenAt > before)) continue;
      const some = parts.slice(0, most);
      return {
        conditions: [
          { key: PipelineKeys.head(id), mark: 0n as never },
          ...some.map((p) => ({ key: PipelineKeys.part(id, p.n), mark: p.mark })),
        ],
        changes: some.map((p) => ({ op: 'delete', key: PipelineKeys.part(id, p.n) })),
        what: id,
      };
    }
    for (const p of this.book.all()) {
      if (p.head.state !== 'pending' || p.head.acceptedAt > before) continue;
      return {
        conditions: [{ key: PipelineKeys.head(p.id), mark: p.mark }],
        changes: [{ op: 'delete', key: PipelineKeys.head(p.id) }],
        what: p.id,
      };
    }
    return undefined;
  }

  /** Why a held step waits, in plain words; undefined where the job isn't one. */
  explain(id: JobId): string[] | undefined {
    const at = this.book.stepOf(id);
    if (!at) return undefined;
    const { pipeline, index } = at;
    const { progress, cancelledAt, startMs, state } = pipeline.head;
    const name = (i: number): string => `'${pipeline.steps[i]!.name}' (${pipeline.steps[i]!.job.id})`;
    const lines = [`Step ${name(index)} of pipeline ${pipeline.id}.`];
    if (state === 'pending') return [...lines, 'The pipeline is being accepted.'];
    if (cancelledAt !== null) return [...lines, 'The pipeline was cancelled.'];
    if (progress.failed.has(index)) {
      const tries = progress.failures.get(index) ?? 0;
      return [...lines, `It was given up after ${tries} failures: cancel it, or 'pipeline retry' it.`];
    }
    if (progress.released.has(index) || isOver(progress, index)) return lines;
    if (startsLater(pipeline, this.d.clock.wall()))
      lines.push(`The pipeline starts at ${new Date(startMs!).toISOString()}.`);
    for (const n of waitsFor(pipeline, index).slice(0, 10)) {
      const why = progress.cancelled.has(n)
        ? ', which was cancelled: it waits until it is cancelled too'
        : progress.failed.has(n)
          ? ', which was given up'
          : progress.released.has(n)
            ? ', which is not done yet'
            : ', which waits itself';
      lines.push(`It waits for step ${name(n)}${why}.`);
    }
    if (lines.length === 1) lines.push('All that it needs is done: it is released with the next write.');
    return lines;
  }
}

export const createPipelines = (d: PipelinesDeps): Pipelines => new Pipelines(d);
