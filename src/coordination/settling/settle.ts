import { NO_MARK, type JobId, type Mark, type PlanId, type StoreKey } from '../../protocol/ids.js';
import type { Change, Condition } from '../../protocol/state.js';
import {
  CHUNK,
  chunkOf,
  Keys,
  noteOf,
  rangesOf,
  seal,
  type EndRecord,
  type NoteEntry,
  type ReturnEntry,
} from '../../bookkeeping/records.js';
import type { Job, Placement, PlanState } from '../../bookkeeping/world.js';
import type { SettlingWorld } from '../views.js';

/** One transaction's worth of ends: what it writes, and what the world becomes once it is committed. */
export interface Settlement {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly jobs: readonly JobId[];
  readonly placements: number;
  /** It holds a shared finish record. */
  readonly noted?: boolean;
  apply(mark: Mark): void;
}

/** What belongs to one transaction of ends. */
export type Piece = Omit<Settlement, 'jobs'>;

/** What steps of pipelines add to a settlement: the heads of their pipelines, and rows of steps that are free to start. */
export interface StepSettler {
  /** Changes promised for what was taken in already. */
  readonly reserved: number;
  extra(job: Job): number;
  ended(job: Job, how: 'done' | 'cancelled'): void;
  pieces(room: number): Piece[];
}

export interface SettleLimits {
  readonly txnOps: number;
  readonly valueKb: number;
  /** Key of the shared finish record, should one be written. */
  readonly note: StoreKey;
  /**
   * Whether it is time for one. Completed tasks of jobs that go on wait for company: the ends of all jobs of one
   * moment go into one record, a single change for hundreds of tasks. Their room is free meanwhile; only the
   * worker's `forget` waits.
   */
  readonly gathered: boolean;
  /** Whether tasks that go back to waiting may be noted: soon, since they are to be placed again. */
  readonly prompt: boolean;
  readonly steps?: StepSettler | undefined;
}

/** Jobs of more tasks keep finish records of their own, lest each shared record lives as long as they do. */
const SHARED_MOST_TASKS = 2 * CHUNK;
/** A job mentioned in more shared records than this gets one of its own in their place. */
const MOST_NOTES = 40;

interface JobPart {
  readonly job: Job;
  readonly groups: { readonly plan: PlanId; readonly placements: Placement[] }[];
}

/**
 * The tasks of a gang complete together. One that is known as done proves the others done, even where a
 * machine went before it could report; waiting for such a task would be waiting for ever.
 */
const gangCompleted = (job: Job, doneNow: number): boolean =>
  job.spec.kind === 'gang' && job.done.count + doneNow > 0;

const isDone = (p: Placement): boolean => p.ended?.how === 'done';

function partsOf(world: SettlingWorld, limits: SettleLimits): JobPart[] {
  const byJob = new Map<Job, Map<PlanId, Placement[]>>();
  for (const job of world.jobs.values()) {
    const over = job.cancelledAt !== undefined || job.done.count >= job.spec.tasks || gangCompleted(job, 0);
    if (over && job.placements.size === 0) byJob.set(job, new Map());
  }
  for (const p of world.unsettled) {
    let plans = byJob.get(p.job);
    if (!plans) byJob.set(p.job, (plans = new Map()));
    const list = plans.get(p.plan);
    if (list) list.push(p);
    else plans.set(p.plan, [p]);
  }
  const parts: JobPart[] = [];
  for (const [job, plans] of byJob) {
    const all = [...plans.values()].flat();
    const empty = job.placements.size <= all.length;
    // A cancelled job's tasks are settled together with its end: nothing needs to know of each before.
    if (job.cancelledAt !== undefined && !empty) continue;
    const urgent = empty || limits.gathered || (limits.prompt && all.some((p) => !isDone(p)));
    if (!urgent) continue;
    parts.push({ job, groups: [...plans].map(([plan, placements]) => ({ plan, placements })) });
  }
  return parts;
}

/** Ends of tasks of many jobs, for one record. */
class Note {
  readonly done: NoteEntry[] = [];
  readonly returned: ReturnEntry[] = [];
  readonly jobs: Job[] = [];
  readonly plans: PlanState[] = [];
  private size = 256;

  constructor(private readonly limit: number) {}

  get empty(): boolean {
    return this.done.length === 0 && this.returned.length === 0;
  }

  addDone(job: Job, indices: readonly number[]): boolean {
    const tasks = rangesOf(indices);
    if (!this.fits(tasks.length + job.id.length + 24)) return false;
    this.done.push({ job: job.id, tasks });
    this.jobs.push(job);
    return true;
  }

  addReturned(plan: PlanState, job: Job, indices: readonly number[]): boolean {
    const tasks = rangesOf(indices);
    if (!this.fits(tasks.length + job.id.length + plan.id.length + 36)) return false;
    this.returned.push({ plan: plan.id, job: job.id, tasks });
    this.plans.push(plan);
    return true;
  }

  private fits(size: number): boolean {
    if (this.size + size > this.limit) return false;
    this.size += size;
    return true;
  }
}

/** The next ends to write, within the operations of one transaction; undefined when there is nothing. */
export function nextSettlement(world: SettlingWorld, limits: SettleLimits): Settlement | undefined {
  const conditions: Condition[] = [];
  const changes: Change[] = [];
  const applies: ((mark: Mark) => void)[] = [];
  const jobs: JobId[] = [];
  let placements = 0;
  const note = new Note(limits.valueKb * 1024 - 128);
  for (const part of partsOf(world, limits)) {
    const room = limits.txnOps - 1 - changes.length - (limits.steps?.reserved ?? 0);
    const piece = settleJob(world, part, room, note, limits);
    if (!piece) continue;
    conditions.push(...piece.conditions);
    changes.push(...piece.changes);
    applies.push(piece.apply);
    jobs.push(part.job.id);
    placements += piece.placements;
  }
  for (const piece of limits.steps?.pieces(limits.txnOps - 1 - changes.length) ?? []) {
    conditions.push(...piece.conditions);
    changes.push(...piece.changes);
    applies.push(piece.apply);
  }
  if (!note.empty) {
    changes.push({ op: 'put', key: limits.note, value: seal(noteOf(note.done, note.returned)) });
    applies.push(() => {
      for (const job of note.jobs) world.mention(job, limits.note);
      for (const plan of note.plans) world.mentionPlan(plan, limits.note);
    });
  }
  if (changes.length === 0) return undefined;
  return {
    conditions,
    changes,
    jobs,
    placements,
    noted: !note.empty,
    apply: (mark) => {
      for (const apply of applies) apply(mark);
    },
  };
}

function settleJob(
  world: SettlingWorld,
  part: JobPart,
  room: number,
  note: Note,
  limits: SettleLimits,
): Piece | undefined {
  const { job } = part;
  const all = part.groups.flatMap((g) => g.placements);
  const newlyDone = all.filter((p) => isDone(p) && !job.done.has(p.index)).length;
  const allDone = job.done.count + newlyDone >= job.spec.tasks || gangCompleted(job, newlyDone);
  const empty = job.placements.size === all.length;
  const cancelled = job.cancelledAt !== undefined;
  if (empty && (allDone || cancelled)) {
    if (room < 2 + (limits.steps?.extra(job) ?? 0)) return undefined;
    limits.steps?.ended(job, cancelled ? 'cancelled' : 'done');
    return endJob(world, job, all, newlyDone);
  }
  if (cancelled) return undefined;
  const done = limits.gathered ? all.filter(isDone) : [];
  const returned = limits.prompt ? returnTasks(world, part, note) : undefined;
  const ends = done.length > 0 ? noteDone(world, job, done, room, note) : undefined;
  const pieces = [returned, ends].filter((p) => p !== undefined);
  if (pieces.length === 0) return undefined;
  return {
    conditions: pieces.flatMap((p) => p.conditions),
    changes: pieces.flatMap((p) => p.changes),
    placements: pieces.reduce((n, p) => n + p.placements, 0),
    apply(mark) {
      for (const p of pieces) p.apply(mark);
    },
  };
}

/** The job is over: its row gives way to its end, and whatever plans it had are done with. */
function endJob(world: SettlingWorld, job: Job, all: readonly Placement[], newlyDone: number): Piece {
  const cancelled = job.cancelledAt !== undefined;
  const end: EndRecord = {
    state: cancelled ? 'cancelled' : 'done',
    done: cancelled ? job.done.count + newlyDone : job.spec.tasks,
  };
  return {
    conditions: [{ key: Keys.job(job.id), mark: job.mark }],
    changes: [
      { op: 'delete', key: Keys.job(job.id) },
      { op: 'put', key: Keys.end(job.id), value: seal(end) },
    ],
    placements: all.length,
    apply() {
      for (const p of all) settleIn(world, p);
      world.dropJob(job);
      world.noteEnded(job.id);
      for (const c of job.finishChunks.keys()) world.garbage.add(Keys.finish(job.id, c));
    },
  };
}

function settleIn(world: SettlingWorld, p: Placement): void {
  world.settle(p);
  const plan = world.plans.get(p.plan);
  if (plan) plan.open--;
}

/**
 * A returned task is a fenced revision: only this term's holder can write it, and the row's generation rises with
 * the round that places it anew. The plan itself is never edited.
 */
function returnTasks(world: SettlingWorld, part: JobPart, note: Note): Piece | undefined {
  const chosen: Placement[] = [];
  for (const group of part.groups) {
    const back = group.placements.filter((p) => !isDone(p));
    const plan = world.plans.get(group.plan);
    if (back.length === 0) continue;
    if (
      plan &&
      !note.addReturned(
        plan,
        part.job,
        back.map((p) => p.index),
      )
    )
      continue;
    chosen.push(...back);
  }
  if (chosen.length === 0) return undefined;
  return {
    conditions: [],
    changes: [],
    placements: chosen.length,
    apply() {
      for (const p of chosen) settleIn(world, p);
    },
  };
}

/**
 * Completed tasks of a job that goes on. No condition on the row: the term's fence keeps older holders out,
 * and an end is true whatever its user did to the row meanwhile.
 */
function noteDone(
  world: SettlingWorld,
  job: Job,
  done: readonly Placement[],
  room: number,
  note: Note,
): Piece | undefined {
  const settle = (): void => {
    for (const p of done) {
      job.done.add(p.index);
      settleIn(world, p);
    }
  };
  const own = job.spec.tasks > SHARED_MOST_TASKS || job.finishNotes.size >= MOST_NOTES;
  if (!own) {
    if (
      note.addDone(
        job,
        done.map((p) => p.index),
      )
    )
      return { conditions: [], changes: [], placements: done.length, apply: settle };
    // No room left beside others: next time. What doesn't fit alone takes a record of its own.
    if (!note.empty) return undefined;
  }
  const chunks = new Map<number, number[]>();
  for (const p of done) {
    const list = chunks.get(chunkOf(p.index));
    if (list) list.push(p.index);
    else chunks.set(chunkOf(p.index), [p.index]);
  }
  // What shared records say of the job is said again by its own, and they are released.
  if (job.finishNotes.size > 0) {
    for (let c = 0; c <= chunkOf(job.spec.tasks - 1); c++) if (!chunks.has(c)) chunks.set(c, []);
  }
  if (chunks.size > room) return undefined;
  return {
    // Each is what it was when this was planned: a record that comes late never takes the place of a newer one, whatever fences it.
    conditions: [...chunks.keys()].map((chunk) => ({
      key: Keys.finish(job.id, chunk),
      mark: job.finishChunks.get(chunk) ?? NO_MARK,
    })),
    changes: [...chunks].map(([chunk, indices]) => ({
      op: 'put',
      key: Keys.finish(job.id, chunk),
      value: seal(job.done.chunkWith(chunk, indices)),
    })),
    placements: done.length,
    apply(mark) {
      settle();
      for (const c of chunks.keys()) job.finishChunks.set(c, mark);
      for (const key of [...job.finishNotes]) world.unmention(job, key);
    },
  };
}
