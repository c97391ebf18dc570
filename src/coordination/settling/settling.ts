import { Rank } from '../../transport/budget.js';
import { sleep } from '../../transport/clock.js';
import { jitter } from '../../transport/random.js';
import type { Mark } from '../../protocol/ids.js';
import { Keys, Prefix } from '../../bookkeeping/records.js';
import type { FencedWriter } from '../fenced-writer.js';
import type { Scope } from '../scope.js';
import { nextSettlement } from './settle.js';
import type { SettlingWorld } from '../views.js';

/** The least time between two shared finish records. */
const GATHER_MS = 1000;
/** The same where some of it is to be placed again. */
const PROMPT_MS = 500;

/** The loop that writes ends: of tasks, of jobs, and what they set free. */
export class Settling {
  private notes = 0;
  private notedAt = -Infinity;
  private nudge: (() => void) | undefined;

  constructor(
    private readonly s: Scope<SettlingWorld>,
    private readonly writer: FencedWriter,
  ) {}

  wake(): void {
    this.nudge?.();
  }

  async run(): Promise<void> {
    const { d, held } = this.s;
    while (this.s.live()) {
      const now = d.clock.now();
      const { txnOps, valueKb } = d.settings.store;
      const work =
        this.s.world && d.term.canDecide()
          ? nextSettlement(this.s.world, {
              txnOps,
              valueKb,
              note: Keys.note(held.term, this.notes + 1),
              gathered: now - this.notedAt >= GATHER_MS,
              prompt: now - this.notedAt >= PROMPT_MS,
              steps: d.pipelines?.settler(this.s.world, held.term),
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
      const outcome = await this.writer.write(work.conditions, work.changes, Rank.Finish);
      if (!this.s.live()) return;
      if (!outcome.ok) {
        if (outcome.error.kind === 'unknown') return d.term.rise('an end without an answer');
        await sleep(d.clock, jitter(d.random, 200));
      } else if (outcome.value.kind === 'conflict') {
        // A finish record that isn't what this holder wrote or read: only the store can tell what is done.
        const { failed } = outcome.value;
        if (failed.some((k) => k.startsWith(Prefix.finish)) && !failed.includes(Keys.holder))
          return d.term.rise('a finish record is not what it was');
        await this.writer.conflict(outcome.value.failed, 'settlement');
        await sleep(d.clock, 30);
      } else {
        const mark = outcome.value.revision as unknown as Mark;
        work.apply(mark);
        if (work.jobs.length > 0)
          d.log.info('ends-committed', { jobs: work.jobs.join(' '), tasks: work.placements });
        this.s.wake();
        // Ends come in many reports: some company makes fewer and fuller transactions.
        await sleep(d.clock, 100);
      }
    }
  }
}
