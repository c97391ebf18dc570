import type { SteadyMs } from '../transport/clock.js';
import type { JobId, Mark, PlanId } from '../protocol/ids.js';
import type { Change, Condition } from '../protocol/state.js';
import { chunkOf, Keys, rangesOf, seal, type EndRecord, type Revision } from '../bookkeeping/records.js';
import type { Job, Placement, PlanState, World } from '../bookkeeping/world.js';

/** One transaction's worth of ends: what it writes, and what the world becomes once it is committed. */
export interface Settlement {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly jobs: readonly JobId[];
  readonly placements: number;
  apply(mark: Mark): void;
}

/** Completed tasks of a job that goes on may wait this long for company; all else is written at once. */
const GATHER_MS = 700;

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

function partsOf(world: World, now: SteadyMs): JobPart[] {
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
    const live = job.placements.size > all.length || all.length === 0;
    const urgent =
      !live ||
      job.cancelledAt !== undefined ||
      all.some((p) => p.ended?.how !== 'done' || now - p.ended.at >= GATHER_MS) ||
      all.length === 0;
    if (!urgent) continue;
    parts.push({ job, groups: [...plans].map(([plan, placements]) => ({ plan, placements })) });
  }
  return parts;
}

/** The next ends to write, within the operations of one transaction; undefined when there is nothing. */
export function nextSettlement(
  world: World,
  guard: Condition,
  txnOps: number,
  now: SteadyMs,
): Settlement | undefined {
  const conditions: Condition[] = [guard];
  const changes: Change[] = [];
  const applies: ((mark: Mark) => void)[] = [];
  const jobs: JobId[] = [];
  let placements = 0;
  // A plan shared by two jobs is settled for one of them per transaction: it has one revision record.
  const touched = new Set<PlanId>();
  for (const part of partsOf(world, now)) {
    const room = txnOps - changes.length;
    const piece = settleJob(world, part, room, touched);
    if (!piece) continue;
    conditions.push(...piece.conditions);
    changes.push(...piece.changes);
    applies.push(piece.apply);
    jobs.push(part.job.id);
    placements += piece.placements;
  }
  if (changes.length === 0) return undefined;
  return {
    conditions,
    changes,
    jobs,
    placements,
    apply: (mark) => {
      for (const apply of applies) apply(mark);
    },
  };
}

type Piece = Omit<Settlement, 'jobs'>;

function settleJob(world: World, part: JobPart, room: number, touched: Set<PlanId>): Piece | undefined {
  const { job } = part;
  if (room < 2) return undefined;
  const chosen: Placement[] = [];
  const chunks = new Map<number, number[]>();
  const planWrites: { plan: PlanState; closed: boolean; returned: number[]; count: number }[] = [];
  let used = 2; // The row and, perhaps, the end record.
  for (const group of part.groups) {
    if (touched.has(group.plan) || used + 4 > room) continue;
    used += 3;
    const taken: Placement[] = [];
    for (const p of group.placements) {
      if (p.ended?.how === 'done') {
        const chunk = chunkOf(p.index);
        const indices = chunks.get(chunk);
        if (indices) indices.push(p.index);
        else if (used < room) {
          chunks.set(chunk, [p.index]);
          used++;
        } else continue;
      }
      taken.push(p);
    }
    chosen.push(...taken);
    const plan = world.plans.get(group.plan);
    if (plan && taken.length > 0) {
      const returned = taken.filter((p) => p.ended?.how !== 'done').map((p) => p.index as number);
      planWrites.push({ plan, closed: plan.open <= taken.length, returned, count: taken.length });
    }
  }
  if (chosen.length === 0 && part.groups.length > 0) return undefined;
  for (const w of planWrites) touched.add(w.plan.id);

  const doneNow = [...chunks.values()].reduce((n, c) => n + c.filter((i) => !job.done.has(i)).length, 0);
  const allDone = job.done.count + doneNow >= job.spec.tasks || gangCompleted(job, doneNow);
  const empty = job.placements.size === chosen.length;
  const cancelled = job.cancelledAt !== undefined;
  const over = empty && (allDone || cancelled);
  const conditions: Condition[] = [{ key: Keys.job(job.id), mark: job.mark }];
  const changes: Change[] = [];
  const returnsSome = chosen.some((p) => p.ended?.how !== 'done');
  const row = {
    ...job.row,
    generation: job.row.generation + 1,
    term: world.term,
    done: job.done.count + doneNow,
  };
  if (over) {
    const end: EndRecord = {
      state: cancelled ? 'cancelled' : 'done',
      done: cancelled ? job.done.count + doneNow : job.spec.tasks,
    };
    changes.push({ op: 'delete', key: Keys.job(job.id) });
    changes.push({ op: 'put', key: Keys.end(job.id), value: seal(end) });
  } else {
    // A returned task is a fenced revision of the row: whoever planned on the old generation fails.
    if (returnsSome) changes.push({ op: 'put', key: Keys.job(job.id), value: seal(row) });
    for (const [chunk, indices] of chunks) {
      changes.push({
        op: 'put',
        key: Keys.finish(job.id, chunk),
        value: seal(job.done.chunkWith(chunk, indices)),
      });
    }
  }
  for (const w of planWrites) {
    if (w.closed) {
      changes.push(
        { op: 'delete', key: Keys.plan(w.plan.id) },
        { op: 'delete', key: Keys.receipt(w.plan.id) },
      );
      if (w.plan.hasRevision) changes.push({ op: 'delete', key: Keys.revision(w.plan.id) });
    } else if (w.returned.length > 0 && !over) {
      const all = new Map(w.plan.returned);
      all.set(job.id, [...(all.get(job.id) ?? []), ...w.returned]);
      const revision: Revision = {
        plan: w.plan.id,
        returned: [...all].map(([id, tasks]) => ({ job: id, tasks: rangesOf(tasks) })),
      };
      changes.push({ op: 'put', key: Keys.revision(w.plan.id), value: seal(revision) });
    }
  }
  return {
    conditions,
    changes,
    placements: chosen.length,
    apply(mark) {
      for (const indices of chunks.values()) for (const i of indices) job.done.add(i);
      for (const p of chosen) world.settle(p);
      for (const w of planWrites) {
        w.plan.open -= w.count;
        if (w.closed) world.plans.delete(w.plan.id);
        else if (w.returned.length > 0 && !over) {
          w.plan.returned.set(job.id, [...(w.plan.returned.get(job.id) ?? []), ...w.returned]);
          w.plan.hasRevision = true;
        }
      }
      if (over) {
        world.jobs.delete(job.id);
        world.noteEnded(job.id);
        const last = chunkOf(job.spec.tasks - 1);
        for (let c = 0; c <= last; c++)
          if (job.finishChunks.has(c)) world.garbage.add(Keys.finish(job.id, c));
        return;
      }
      for (const c of chunks.keys()) job.finishChunks.add(c);
      if (returnsSome && mark > job.mark) {
        job.row = row;
        job.mark = mark;
      }
    },
  };
}
