import { Rank } from '../../transport/budget.js';
import { sleep } from '../../transport/clock.js';
import type { Mark } from '../../protocol/ids.js';
import { Keys, seal, withGeneration, type Row } from '../../bookkeeping/records.js';
import type { Job } from '../../bookkeeping/world.js';
import type { FencedWriter } from '../fenced-writer.js';
import type { Scope } from '../scope.js';
import type { RoundsWorld } from '../views.js';

/** How long a job may run before its row says so: many are over by then, and their rows gone. */
const STAMP_MS = 1500;

export class Stamping {
  constructor(
    private readonly s: Scope<RoundsWorld>,
    private readonly writer: FencedWriter,
  ) {}

  /**
   * Rows of jobs that have started say so once there is time for it: it is what users are shown, and nothing hangs on it.
   * The state's own loop, and at the lowest rank, since at a burst every change is wanted for what comes next.
   */
  async run(): Promise<void> {
    const { d } = this.s;
    while (this.s.live()) {
      await sleep(d.clock, STAMP_MS / 2);
      const { world } = this.s;
      if (!world || !this.s.live() || !d.term.canDecide()) continue;
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

  private async stamp(world: RoundsWorld, jobs: readonly Job[]): Promise<void> {
    const { d } = this.s;
    const rows = jobs.map((job): Row => ({
      ...job.row,
      state: job.everStarted ? 'running' : job.row.state,
      term: this.s.held.term,
      done: job.done.count,
    }));
    const outcome = await this.writer.write(
      jobs.map((j) => ({ key: Keys.job(j.id), mark: j.mark })),
      jobs.map((j, i) => ({ op: 'put', key: Keys.job(j.id), value: seal(rows[i]) })),
      Rank.Garbage,
    );
    if (!this.s.live() || !outcome.ok) return;
    if (outcome.value.kind === 'conflict') return this.writer.conflict(outcome.value.failed, 'stamps');
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
}
