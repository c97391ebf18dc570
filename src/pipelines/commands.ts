import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Command } from 'commander';
import type { Result } from '../transport/result.js';
import type { PipelineSpec } from '../protocol/pipelines.js';
import { nextRuns, runName } from './calendar.js';
import { PipelineClient, refusalLines } from './client.js';
import { compile } from './draft.js';
import { faultLine, type Fault } from './faults.js';
import { parsePipelineFile, type PipelineFile } from './file.js';
import { Prompt } from './prompt.js';
import { changesText, isOver, planText, showText, summaryText } from './render.js';

/** What the rest of the command line lends this part. */
export interface CommandDeps {
  readonly read: (path: string) => string;
  readonly fail: (code: number, lines: readonly string[]) => never;
  readonly exit: { readonly settings: number; readonly remote: number; readonly usage: number };
  readonly explain: (address: string, job: string) => Promise<Result<string, string>>;
  readonly namesPath: string;
}

interface At {
  readonly at: string;
  readonly json?: boolean;
}

const AT = ['--at <addresses>', 'controllers, host:port, with commas between', '127.0.0.1:8080'] as const;
const JSON_FLAG = ['--json', 'print JSON'] as const;
const WATCH_MS = 2000;

export function pipelineCommands(program: Command, d: CommandDeps): void {
  const out = (o: { readonly json?: boolean }, value: unknown, text: string): void => {
    process.stdout.write(`${o.json ? JSON.stringify(value) : text}\n`);
  };
  const faults = (o: { readonly json?: boolean }, file: string, list: readonly Fault[]): never => {
    if (o.json) {
      process.stdout.write(`${JSON.stringify({ faults: list.map((f) => ({ file, ...f })) })}\n`);
      return d.fail(d.exit.settings, []);
    }
    return d.fail(
      d.exit.settings,
      list.map((f) => faultLine(file, f)),
    );
  };
  const load = (o: { readonly json?: boolean }, path: string): PipelineFile => {
    const parsed = parsePipelineFile(d.read(path), Date.now());
    return parsed.ok ? parsed.value : faults(o, path, parsed.faults);
  };
  const specOf = (o: { readonly json?: boolean }, path: string, file: PipelineFile): PipelineSpec => {
    const compiled = compile(file.draft);
    return compiled.ok ? compiled.value : faults(o, path, compiled.faults);
  };
  const client = (o: At): PipelineClient => {
    const addresses = o.at.split(',');
    const wrong = PipelineClient.faultOf(addresses);
    if (wrong !== undefined) d.fail(d.exit.usage, [wrong]);
    return new PipelineClient(addresses, (ms) => sleep(ms), Date.now);
  };
  const orFail = <T>(r: Result<T, Parameters<typeof refusalLines>[0]>): T =>
    r.ok ? r.value : d.fail(d.exit.remote, refusalLines(r.error));

  const p = program.command('pipeline').description('pipelines of jobs, written as files');

  p.command('check <file>')
    .description('find everything that is wrong with a pipeline file; with --at, ask the service too')
    .option('--at <addresses>', AT[1])
    .option(...JSON_FLAG)
    .action(async (path: string, o: { at?: string; json?: boolean }) => {
      const spec = specOf(o, path, load(o, path));
      if (o.at !== undefined) orFail(await client({ at: o.at }).check(spec));
      out(o, { faults: [] }, `${path} is good: ${spec.steps.length} steps`);
    });

  p.command('plan <file>')
    .description('print the steps in the order they may run, and what waits for what')
    .option(...JSON_FLAG)
    .action((path: string, o: { json?: boolean }) => {
      const spec = specOf(o, path, load(o, path));
      out(o, spec, planText(spec));
    });

  p.command('submit <file>')
    .description('submit a pipeline; one with a calendar for its next runs, each under a name of its own')
    .option(...AT)
    .option('--name <name>', 'another name than the file says, so that the same file can run again')
    .option('--runs <n>', 'how many runs of a calendar', '1')
    .option(...JSON_FLAG)
    .action(async (path: string, o: At & { name?: string; runs: string }) => {
      const file = load(o, path);
      for (const spec of runsOf(file, o, (f) => specOf(o, path, f))) {
        const done = orFail(await client(o).submit(spec));
        out(o, done, summaryText(done));
      }
    });

  p.command('show <id>')
    .description('print the state of a pipeline and of its steps')
    .option(...AT)
    .option(...JSON_FLAG)
    .action(async (id: string, o: At) => {
      const shown = orFail(await client(o).show(id));
      out(o, shown, showText(shown));
    });

  p.command('watch <id>')
    .description('print what changes until it is over; exit 0 when all its steps are done, 1 otherwise')
    .option(...AT)
    .option(...JSON_FLAG)
    .action(async (id: string, o: At) => {
      const c = client(o);
      let before;
      for (;;) {
        const now = orFail(await c.show(id));
        if (o.json) process.stdout.write(`${JSON.stringify(now)}\n`);
        else for (const line of changesText(before, now)) process.stdout.write(`${line}\n`);
        if (isOver(now)) process.exit(now.state === 'done' ? 0 : 1);
        before = now;
        await sleep(WATCH_MS);
      }
    });

  p.command('cancel <id>')
    .description('cancel a pipeline with all its steps')
    .option(...AT)
    .option(...JSON_FLAG)
    .action(async (id: string, o: At) => {
      const done = orFail(await client(o).cancel(id));
      out(o, done, summaryText(done));
    });

  p.command('retry <id> <step>')
    .description('try a step anew that was given up after its retries')
    .option(...AT)
    .option(...JSON_FLAG)
    .action(async (id: string, step: string, o: At) => {
      const done = orFail(await client(o).retry(id, step));
      out(o, done, summaryText(done));
    });

  program
    .command('prompt')
    .description('type requests; reads standard input line by line where that is no terminal')
    .option(...AT)
    .action(async (o: At) => {
      const prompt = new Prompt({
        client: client(o),
        input: process.stdin,
        output: process.stdout,
        now: Date.now,
        freshName: () => `typed-${randomBytes(5).toString('hex')}`,
        explain: (job) => d.explain(o.at.split(',')[0]!, job),
        namesPath: d.namesPath,
      });
      process.exit((await prompt.run()) === 0 ? 0 : 1);
    });
}

/** One pipeline, or one for each of a calendar's next runs. */
function runsOf(
  file: PipelineFile,
  o: { readonly name?: string; readonly runs: string },
  compiled: (file: PipelineFile) => PipelineSpec,
): PipelineSpec[] {
  const name = o.name ?? file.draft.name;
  const { calendar } = file;
  if (!calendar) return [compiled({ ...file, draft: { ...file.draft, name } })];
  return nextRuns(calendar, Date.now(), Math.max(1, Number(o.runs) || 1)).map((at) =>
    compiled({ ...file, draft: { ...file.draft, name: runName(name, at), startMs: at.toMillis() } }),
  );
}
