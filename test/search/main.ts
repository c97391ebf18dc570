import { Command, InvalidArgumentError } from 'commander';
import { search, type DayKind } from './schedule.js';

const whole = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1) throw new InvalidArgumentError('expected a whole number above 0');
  return n;
};

/** The kinds of days, one after the other. */
const KINDS: readonly DayKind[] = ['all', 'pipelines'];

/** `npm run search`: runs drawn days in virtual time until the time is over, and prints the days that violate an invariant. */
new Command('search')
  .description(
    'runs the real controllers in virtual time on drawn days of overlapping faults, and shrinks days that violate an invariant',
  )
  .option('--seconds <n>', 'how long to search', whole, 60)
  .option('--seed <n>', 'the first seed; each batch takes the next', whole, Date.now() % 1_000_000)
  .option('--batch <n>', 'days drawn from each seed', whole, 50)
  .action(async (o: { seconds: number; seed: number; batch: number }) => {
    const until = Date.now() + o.seconds * 1000;
    let played = 0;
    let found = 0;
    for (let seed = o.seed; Date.now() < until; seed++) {
      const kind = KINDS[(seed - o.seed) % KINDS.length]!;
      const r = await search(seed, o.batch, undefined, Math.max(1, until - Date.now()), true, kind);
      played += r.played;
      if (!r.found) continue;
      found++;
      process.stdout.write(
        `# seed ${seed}, ${kind}\n# ${r.found.failures.join('\n# ')}\n${r.found.text}\n\n`,
      );
    }
    process.stdout.write(`${played} days from seed ${o.seed} on, ${found} with invariant violations\n`);
    process.exitCode = found > 0 ? 1 : 0;
  })
  .parse();
