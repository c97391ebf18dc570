import type { TaskIndex } from '../../protocol/ids.js';
import type { Job, Placement } from '../../bookkeeping/world.js';
import { actualWidth } from '../elastic/index.js';
import type { Snapshot } from './snapshot.js';

/** What elastic jobs run beyond their least: lent, and given back to whoever asks, within one round. */
export class Lending {
  constructor(private readonly s: Pick<Snapshot, 'widths' | 'world'>) {}

  /** Beyond its least, an elastic job takes idle room only: nothing is stopped or rented for it. */
  grows(job: Job): boolean {
    return (
      job.spec.elastic !== undefined &&
      this.s.widths !== undefined &&
      actualWidth(job) >= job.spec.elastic.least
    );
  }

  /** Up to its least first, as ordinary work; what goes beyond is for a round that finds it there. */
  widthLeft(job: Job, placed: ReadonlySet<TaskIndex> | undefined): number {
    const room = this.s.widths?.room(job);
    if (room === undefined) return Infinity;
    const toLeast = (job.spec.elastic?.least ?? 0) - actualWidth(job);
    return (toLeast > 0 ? Math.min(room, toLeast) : room) - (placed?.size ?? 0);
  }

  /** How many tasks of each elastic job this round has asked back. */
  private readonly askedBack = new Map<Job, number>();

  asked(p: Placement): void {
    if (p.job.spec.elastic) this.askedBack.set(p.job, (this.askedBack.get(p.job) ?? 0) + 1);
  }

  isLent(p: Placement): boolean {
    const { widths } = this.s;
    return (
      p.job.spec.elastic !== undefined && !!widths && widths.lent(p.job) > (this.askedBack.get(p.job) ?? 0)
    );
  }

  /** Whether so many tasks of the job, and one more, may be asked back whatever the order says. */
  lends(p: Placement, taken: number): boolean {
    return this.isLent(p) && (this.s.widths?.lent(p.job) ?? 0) > (this.askedBack.get(p.job) ?? 0) + taken;
  }

  private lentAnywhere: boolean | undefined;

  anyLent(): boolean {
    const { widths, world } = this.s;
    if (!widths) return false;
    this.lentAnywhere ??= [...world.jobs.values()].some(
      (j) => j.spec.elastic !== undefined && widths.lent(j) > 0,
    );
    return this.lentAnywhere;
  }
}
