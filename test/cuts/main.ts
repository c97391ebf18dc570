import { Command } from 'commander';
import { seededRandom } from '../../src/transport/random.js';
import { cutOften } from './cuts.js';

const program = new Command('cuts')
  .description('cuts the power of a real site, again and again, under load')
  .option('--count <n>', 'so many cuts', '200')
  .option('--seed <n>', 'luck', '1')
  .option('--port <n>', 'first of five ports', '18480')
  .parse();
const o = program.opts<{ count: string; seed: string; port: string }>();

const r = await cutOften(Number(o.count), Number(o.port), seededRandom(Number(o.seed)), (line) =>
  process.stdout.write(`${line}\n`),
);
const of = (list: number[], share: number): number =>
  Math.round(
    [...list].sort((a, b) => a - b)[Math.min(list.length - 1, Math.floor(list.length * share))] ?? 0,
  );
process.stdout.write(
  `${r.cuts} cuts, ${r.accepted} jobs accepted, ${r.starts} starts of tasks\n` +
    `users served after ${of(r.serving, 0.5)} ms (median), ${of(r.serving, 1)} ms (longest)\n` +
    `services running after ${of(r.whole, 0.5)} ms (median), ${of(r.whole, 1)} ms (longest)\n` +
    `${r.faults.length} faults\n${r.faults.map((f) => `  ${f}\n`).join('')}`,
);
process.exit(r.faults.length === 0 ? 0 : 1);
