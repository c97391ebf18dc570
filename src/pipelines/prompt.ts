import { createInterface } from 'node:readline';
import type { Readable, Writable } from 'node:stream';
import type { JobAnswer } from '../protocol/jobs.js';
import type { Result } from '../transport/result.js';
import { refusalLines, type CompletionNames, type PipelineClient, type Refusal } from './client.js';
import { compile } from './draft.js';
import { faultWithCaret } from './faults.js';
import { expectedNext, VERBS } from './grammar.js';
import { showText, summaryText } from './render.js';
import { parseRequest, type Request } from './request.js';

export interface PromptDependencies {
  readonly client: PipelineClient;
  readonly input: Readable & { isTTY?: boolean };
  readonly output: Writable & { isTTY?: boolean };
  readonly now: () => number;
  /** Name for a pipeline whose request gives none; must not be used twice. */
  readonly uniqueName: () => string;
  readonly explain: (job: string) => Promise<Result<string, string>>;
  readonly namesPath: string;
}

const HELP = `run CLASS [as NAME] for TEAM: 20 tasks of 5 cpus, 1 gpu, 18 GB with image IMG (6 GB)
  [, by 18:00 Asia/Karachi | within 10m] [, as gang] [, priority high] [, spot] [, retry 3 times]
  [, then run ...] [, after NAME run ...] [called PIPELINE] [starting at 2026-12-02 02:30 Asia/Karachi]
show ID | why does ID wait | cancel ID | retry STEP of PIPELINE | help | quit`;

/**
 * The request prompt: each line is a request and gets an answer of a few lines. It needs only a keyboard, suits slow
 * connections and reads requests from scripts too.
 */
export class Prompt {
  private completionNames: CompletionNames = { teams: [], classes: [], types: [] };
  failed = 0;

  constructor(private readonly dependencies: PromptDependencies) {}

  /** Resolves with the number of requests that failed. */
  async run(): Promise<number> {
    const { input, output } = this.dependencies;
    const isTerminal = input.isTTY === true;
    if (isTerminal)
      this.completionNames = await this.dependencies.client.completionNames(this.dependencies.namesPath);
    const lines = createInterface({
      input,
      ...(isTerminal
        ? {
            output,
            completer: (line: string) => this.complete(line),
            historySize: 500,
            removeHistoryDuplicates: true,
          }
        : {}),
      prompt: '> ',
      terminal: isTerminal,
    });
    if (isTerminal) lines.prompt();
    for await (const line of lines) {
      const text = line.trim();
      if (text !== '' && !text.startsWith('#')) {
        const answer = await this.answer(text);
        if (answer === undefined) break;
        output.write(`${answer}\n`);
      }
      if (isTerminal) lines.prompt();
    }
    lines.close();
    return this.failed;
  }

  /** The text to print; undefined ends the prompt. */
  async answer(text: string): Promise<string | undefined> {
    const parsed = parseRequest(text, this.dependencies.now(), this.dependencies.uniqueName());
    if (!parsed.ok) {
      this.failed++;
      return parsed.faults.map((f) => faultWithCaret(text, f)).join('\n');
    }
    const request = parsed.value;
    if (request.kind === 'quit') return undefined;
    if (request.kind === 'help') return HELP;
    return this.execute(request, text);
  }

  private async execute(request: Exclude<Request, { kind: 'help' | 'quit' }>, text: string): Promise<string> {
    const { client } = this.dependencies;
    const pipelineText = (result: Awaited<ReturnType<PipelineClient['show']>>): string =>
      result.ok
        ? result.value.list.length > 0
          ? showText(result.value)
          : summaryText(result.value)
        : this.recordRefusal(result.error);
    switch (request.kind) {
      case 'run': {
        const compiled = compile(request.draft);
        if (!compiled.ok) {
          this.failed++;
          return compiled.faults.map((f) => faultWithCaret(text, f)).join('\n');
        }
        const submitted = await client.submit(compiled.value);
        if (!submitted.ok) return this.recordRefusal(submitted.error);
        return [
          summaryText(submitted.value),
          ...compiled.value.steps.map((s) => `  ${s.name} is ${s.job.id}`),
        ].join('\n');
      }
      case 'show':
        if (!request.pipeline) return this.jobText(await client.job(request.target));
        return pipelineText(await client.show(request.target));
      case 'cancel':
        if (!request.pipeline) return this.jobText(await client.job(request.target, true));
        return pipelineText(await client.cancel(request.target));
      case 'retry':
        return pipelineText(await client.retry(request.target, request.step));
      case 'why': {
        const explanation = await this.dependencies.explain(request.target);
        if (!explanation.ok) this.failed++;
        return explanation.ok ? explanation.value : explanation.error;
      }
    }
  }

  private recordRefusal(refusal: Refusal): string {
    this.failed++;
    return refusalLines(refusal).join('\n');
  }

  private jobText(result: Result<JobAnswer, Refusal>): string {
    if (!result.ok) return this.recordRefusal(result.error);
    const { id, state, done, running } = result.value;
    return `${id}: ${state}${done === undefined ? '' : `, ${done} done, ${running ?? 0} running`}`;
  }

  /** Completes keywords where the grammar allows them, and names known to the running service where it expects names. */
  complete(line: string): [string[], string] {
    const match = /(\S*)$/.exec(line)!;
    const partialWord = match[1]!;
    const precedingText = line.slice(0, line.length - partialWord.length);
    const lastWord = precedingText.trim().split(/\s+/).at(-1) ?? '';
    let candidates: readonly string[];
    if (precedingText.trim() === '') candidates = VERBS;
    else if (lastWord === 'run') candidates = this.completionNames.classes;
    else if (lastWord === 'for') candidates = this.completionNames.teams.map((t) => `${t}:`);
    else if (lastWord === 'type' || lastWord === 'types') candidates = this.completionNames.types;
    else candidates = expectedNext(precedingText).filter((w) => /^[a-z]+$/.test(w));
    return [candidates.filter((w) => w.startsWith(partialWord)).map((w) => `${w} `), partialWord];
  }
}
