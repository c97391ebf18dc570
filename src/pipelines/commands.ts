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
import { changesText, isFinished, planText, showText, summaryText } from './render.js';

/** Functions and constants of the command line that the pipeline commands use. */
export interface PipelineCommandDependencies {
  readonly read: (path: string) => string;
  readonly fail: (code: number, lines: readonly string[]) => never;
  readonly exit: { readonly settings: number; readonly remote: number; readonly usage: number };
  readonly explain: (address: string, job: string) => Promise<Result<string, string>>;
  readonly namesPath: string;
}

interface AddressOptions {
  readonly at: string;
  readonly json?: boolean;
}

const ADDRESSES_OPTION = [
  '--at <addresses>',
  'controller addresses (host:port), separated by commas',
  '127.0.0.1:8080',
] as const;
const JSON_FLAG = ['--json', 'print JSON'] as const;
const WATCH_INTERVAL_MS = 2000;

export function pipelineCommands(program: Command, dependencies: PipelineCommandDependencies): void {
  const print = (options: { readonly json?: boolean }, value: unknown, text: string): void => {
    process.stdout.write(`${options.json ? JSON.stringify(value) : text}\n`);
  };
  const failWithFaults = (
    options: { readonly json?: boolean },
    file: string,
    faults: readonly Fault[],
  ): never => {
    if (options.json) {
      process.stdout.write(`${JSON.stringify({ faults: faults.map((fault) => ({ file, ...fault })) })}\n`);
      return dependencies.fail(dependencies.exit.settings, []);
    }
    return dependencies.fail(
      dependencies.exit.settings,
      faults.map((fault) => faultLine(file, fault)),
    );
  };
  const loadFile = (options: { readonly json?: boolean }, path: string): PipelineFile => {
    const parsed = parsePipelineFile(dependencies.read(path), Date.now());
    return parsed.ok ? parsed.value : failWithFaults(options, path, parsed.faults);
  };
  const specOf = (options: { readonly json?: boolean }, path: string, file: PipelineFile): PipelineSpec => {
    const compiled = compile(file.draft);
    return compiled.ok ? compiled.value : failWithFaults(options, path, compiled.faults);
  };
  const createClient = (options: AddressOptions): PipelineClient => {
    const addresses = options.at.split(',');
    const invalid = PipelineClient.addressFault(addresses);
    if (invalid !== undefined) dependencies.fail(dependencies.exit.usage, [invalid]);
    return new PipelineClient(addresses, (ms) => sleep(ms), Date.now);
  };
  const valueOrFail = <T>(result: Result<T, Parameters<typeof refusalLines>[0]>): T =>
    result.ok ? result.value : dependencies.fail(dependencies.exit.remote, refusalLines(result.error));

  const pipelineCommand = program.command('pipeline').description('pipelines of jobs, written as files');

  pipelineCommand
    .command('check <file>')
    .description('report all faults of a pipeline file; with --at, ask the service too')
    .option('--at <addresses>', ADDRESSES_OPTION[1])
    .option(...JSON_FLAG)
    .action(async (path: string, options: { at?: string; json?: boolean }) => {
      const spec = specOf(options, path, loadFile(options, path));
      if (options.at !== undefined) valueOrFail(await createClient({ at: options.at }).check(spec));
      print(options, { faults: [] }, `${path} is good: ${spec.steps.length} steps`);
    });

  pipelineCommand
    .command('plan <file>')
    .description('print the steps in the order they may run, and what each waits for')
    .option(...JSON_FLAG)
    .action((path: string, options: { json?: boolean }) => {
      const spec = specOf(options, path, loadFile(options, path));
      print(options, spec, planText(spec));
    });

  pipelineCommand
    .command('submit <file>')
    .description('submit a pipeline; if it has a calendar, submit its next runs, each under its own name')
    .option(...ADDRESSES_OPTION)
    .option(
      '--name <name>',
      'use this name instead of the one in the file, so that the same file can run again',
    )
    .option('--runs <n>', 'number of calendar runs to submit', '1')
    .option(...JSON_FLAG)
    .action(async (path: string, options: AddressOptions & { name?: string; runs: string }) => {
      const file = loadFile(options, path);
      for (const spec of runsOf(file, options, (runFile) => specOf(options, path, runFile))) {
        const answer = valueOrFail(await createClient(options).submit(spec));
        print(options, answer, summaryText(answer));
      }
    });

  pipelineCommand
    .command('show <id>')
    .description('print the state of a pipeline and of its steps')
    .option(...ADDRESSES_OPTION)
    .option(...JSON_FLAG)
    .action(async (id: string, options: AddressOptions) => {
      const answer = valueOrFail(await createClient(options).show(id));
      print(options, answer, showText(answer));
    });

  pipelineCommand
    .command('watch <id>')
    .description('print changes until the pipeline is over; exit 0 if all its steps are done, 1 otherwise')
    .option(...ADDRESSES_OPTION)
    .option(...JSON_FLAG)
    .action(async (id: string, options: AddressOptions) => {
      const client = createClient(options);
      let previous;
      for (;;) {
        const current = valueOrFail(await client.show(id));
        if (options.json) process.stdout.write(`${JSON.stringify(current)}\n`);
        else for (const line of changesText(previous, current)) process.stdout.write(`${line}\n`);
        if (isFinished(current)) process.exit(current.state === 'done' ? 0 : 1);
        previous = current;
        await sleep(WATCH_INTERVAL_MS);
      }
    });

  pipelineCommand
    .command('cancel <id>')
    .description('cancel a pipeline with all its steps')
    .option(...ADDRESSES_OPTION)
    .option(...JSON_FLAG)
    .action(async (id: string, options: AddressOptions) => {
      const answer = valueOrFail(await createClient(options).cancel(id));
      print(options, answer, summaryText(answer));
    });

  pipelineCommand
    .command('retry <id> <step>')
    .description('retry a step that was given up after its retries')
    .option(...ADDRESSES_OPTION)
    .option(...JSON_FLAG)
    .action(async (id: string, step: string, options: AddressOptions) => {
      const answer = valueOrFail(await createClient(options).retry(id, step));
      print(options, answer, summaryText(answer));
    });

  program
    .command('prompt')
    .description('type requests; reads standard input line by line if it is not a terminal')
    .option(...ADDRESSES_OPTION)
    .action(async (options: AddressOptions) => {
      const prompt = new Prompt({
        client: createClient(options),
        input: process.stdin,
        output: process.stdout,
        now: Date.now,
        uniqueName: () => `typed-${randomBytes(5).toString('hex')}`,
        explain: (job) => dependencies.explain(options.at.split(',')[0]!, job),
        namesPath: dependencies.namesPath,
      });
      process.exit((await prompt.run()) === 0 ? 0 : 1);
    });
}

/** The file's pipeline, or one pipeline for each of the calendar's next runs. */
function runsOf(
  file: PipelineFile,
  options: { readonly name?: string; readonly runs: string },
  compileFile: (file: PipelineFile) => PipelineSpec,
): PipelineSpec[] {
  const name = options.name ?? file.draft.name;
  const { calendar } = file;
  if (!calendar) return [compileFile({ ...file, draft: { ...file.draft, name } })];
  return nextRuns(calendar, Date.now(), Math.max(1, Number(options.runs) || 1)).map((start) =>
    compileFile({ ...file, draft: { ...file.draft, name: runName(name, start), startMs: start.toMillis() } }),
  );
}
