import { createInterface } from 'node:readline';
import type { Readable, Writable } from 'node:stream';
import type { JobAnswer } from '../protocol/jobs.js';
import type { Result } from '../transport/result.js';
import { refusalLines, type Names, type PipelineClient, type Refusal } from './client.js';
import { compile } from './draft.js';
import { caret } from './faults.js';
import { expectedNext, VERBS } from './grammar.js';
import { showText, summaryText } from './render.js';
import { parseRequest, type Request } from './request.js';

export interface PromptDeps {
  readonly client: PipelineClient;
  readonly input: Readable & { isTTY?: boolean };
  readonly output: Writable & { isTTY?: boolean };
  readonly now: () => number;
  /** What a pipeline is called that isn't given a name; must not be used twice. */
  readonly freshName: () => string;
  readonly explain: (job: string) => Promise<Result<string, string>>;
  readonly namesPath: string;
}

const HELP = `run CLASS [as NAME] for TEAM: 20 tasks of 5 cpus, 1 gpu, 18 GB with image IMG (6 GB)
  [, by 18:00 Asia/Karachi | within 10m] [, as gang] [, priority high] [, spot] [, retry 3 times]
  [, then run ...] [, after NAME run ...] [called PIPELINE] [starting at 2026-12-02 02:30 Asia/Karachi]
show ID | why does ID wait | cancel ID | retry STEP of PIPELINE | help | quit`;

/** A line is a request and gets an answer of a few lines. Works with a keyboard alone, over a slow line, and from a script. */
export class Prompt {
  private names: Names = { teams: [], classes: [], types: [] };
  failed = 0;

  constructor(private readonly d: PromptDeps) {}

  /** Resolves with the number of requests that failed. */
  async run(): Promise<number> {
    const { input, output } = this.d;
    const typed = input.isTTY === true;
    if (typed) this.names = await this.d.client.names(this.d.namesPath);
    const lines = createInterface({
      input,
      ...(typed
        ? {
            output,
            completer: (line: string) => this.complete(line),
            historySize: 500,
            removeHistoryDuplicates: true,
          }
        : {}),
      prompt: '> ',
      terminal: typed,
    });
    if (typed) lines.prompt();
    for await (const line of lines) {
      const text = line.trim();
      if (text !== '' && !text.startsWith('#')) {
        const answer = await this.answer(text);
        if (answer === undefined) break;
        output.write(`${answer}\n`);
      }
      if (typed) lines.prompt();
    }
    lines.close();
    return this.failed;
  }

  /** What is to be printed; undefined: no more requests. */
  async answer(text: string): Promise<string | undefined> {
    const parsed = parseRequest(text, this.d.now(), this.d.freshName());
    if (!parsed.ok) {
      this.failed++;
      return parsed.faults.map((f) => caret(text, f)).join('\n');
    }
    const request = parsed.value;
    if (request.kind === 'quit') return undefined;
    if (request.kind === 'help') return HELP;
    return this.do(request, text);
  }

  private async do(request: Exclude<Request, { kind: 'help' | 'quit' }>, text: string): Promise<string> {
    const { client } = this.d;
    const pipelineText = (r: Awaited<ReturnType<PipelineClient['show']>>): string =>
      r.ok ? (r.value.list.length > 0 ? showText(r.value) : summaryText(r.value)) : this.refused(r.error);
    switch (request.kind) {
      case 'run': {
        const compiled = compile(request.draft);
        if (!compiled.ok) {
          this.failed++;
          return compiled.faults.map((f) => caret(text, f)).join('\n');
        }
        const done = await client.submit(compiled.value);
        if (!done.ok) return this.refused(done.error);
        return [
          summaryText(done.value),
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
        const said = await this.d.explain(request.target);
        if (!said.ok) this.failed++;
        return said.ok ? said.value : said.error;
      }
    }
  }

  private refused(r: Refusal): string {
    this.failed++;
    return refusalLines(r).join('\n');
  }

  private jobText(r: Result<JobAnswer, Refusal>): string {
    if (!r.ok) return this.refused(r.error);
    const { id, state, done, running } = r.value;
    return `${id}: ${state}${done === undefined ? '' : `, ${done} done, ${running ?? 0} running`}`;
  }

  /** Words of the language where they may stand, and names from the running service where names may. */
  complete(line: string): [string[], string] {
    const m = /(\S*)$/.exec(line)!;
    const begun = m[1]!;
    const before = line.slice(0, line.length - begun.length);
    const last = before.trim().split(/\s+/).at(-1) ?? '';
    let all: readonly string[];
    if (before.trim() === '') all = VERBS;
    else if (last === 'run') all = this.names.classes;
    else if (last === 'for') all = this.names.teams.map((t) => `${t}:`);
    else if (last === 'type' || last === 'types') all = this.names.types;
    else all = expectedNext(before).filter((w) => /^[a-z]+$/.test(w));
    return [all.filter((w) => w.startsWith(begun)).map((w) => `${w} `), begun];
  }
}
