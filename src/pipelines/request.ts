import type { CstNode, IRecognitionException, IToken } from 'chevrotain';
import type { ImageName, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { DEFAULT_RECLAIM_BOUND_S, elasticSpecError, type JobShape } from '../protocol/jobs.js';
import type { Kind, Priority } from '../protocol/wire.js';
import { parseMoment } from './calendar.js';
import type { Draft, DraftStep } from './draft.js';
import { sortAndDeduplicate, type Fault, type Position } from './faults.js';
import { requestParser, RequestLexer } from './grammar.js';
import { parseGigabytes, parseSeconds } from './values.js';

/** What a typed request asks for. */
export type Request =
  | { readonly kind: 'run'; readonly draft: Draft }
  | { readonly kind: 'show' | 'cancel' | 'why'; readonly target: string; readonly pipeline: boolean }
  | { readonly kind: 'retry'; readonly target: string; readonly step: string }
  | { readonly kind: 'help' }
  | { readonly kind: 'quit' };

export type RequestResult =
  { readonly ok: true; readonly value: Request } | { readonly ok: false; readonly faults: Fault[] };

const MAX_REQUEST_LENGTH = 20_000;

/** Parses a typed request. `defaultName` names a pipeline whose request gives no name. */
export function parseRequest(text: string, nowMs: number, defaultName: string): RequestResult {
  if (text.length > MAX_REQUEST_LENGTH)
    return failure([{ line: 1, column: 1, what: 'the request is too long: write a pipeline file' }]);
  const lexed = RequestLexer.tokenize(text);
  if (lexed.errors.length > 0) {
    return failure(
      lexed.errors.map((error) => ({
        line: error.line ?? 1,
        column: error.column ?? 1,
        what: `'${text.slice(error.offset, error.offset + error.length)}' is not recognized here`,
      })),
    );
  }
  requestParser.input = lexed.tokens;
  const tree = requestParser.request() as CstNode | undefined;
  const faults = requestParser.errors.map((e) => faultOfParseError(e, text));
  if (faults.length > 0 || !tree) return failure(faults);
  return new RequestBuilder(nowMs, defaultName).request(tree);
}

const failure = (faults: Fault[]): RequestResult => ({ ok: false, faults: sortAndDeduplicate(faults) });

function faultOfParseError(error: IRecognitionException, text: string): Fault {
  const { token } = error;
  const atEnd = Number.isNaN(token.startOffset);
  const lines = text.split('\n');
  const position: Position = atEnd
    ? { line: lines.length, column: lines[lines.length - 1]!.length + 1 }
    : { line: token.startLine ?? 1, column: token.startColumn ?? 1 };
  const expected = expectedOf(error);
  const found = atEnd ? 'here the request ends' : `found '${token.image}'`;
  return {
    ...position,
    what:
      expected === ''
        ? `'${token.image}' is unexpected: the request is already complete`
        : `expected ${expected}, ${found}`,
  };
}

/** What the parser expected, taken from its error message; empty if it expected the end of the request. */
function expectedOf(error: IRecognitionException): string {
  if (error.name === 'NotAllInputParsedException') return '';
  const single = /--> (.+?) <--/.exec(error.message);
  if (error.name === 'MismatchedTokenException' && single) return single[1]!;
  const alternatives = [...error.message.matchAll(/\[([^\][]+)\]/g)].map((m) => m[1]!.split(',')[0]!.trim());
  const unique = [...new Set(alternatives)];
  if (unique.length === 0) return 'something else';
  return unique.length > 8
    ? `one of ${unique.slice(0, 8).join(', ')} …`
    : unique.length === 1
      ? unique[0]!
      : `one of ${unique.join(', ')}`;
}

const positionOf = (t: IToken): Position => ({ line: t.startLine ?? 1, column: t.startColumn ?? 1 });

/** Converts a syntax tree to a request. */
class RequestBuilder {
  private readonly faults: Fault[] = [];

  constructor(
    private readonly nowMs: number,
    private readonly defaultName: string,
  ) {}

  private addFault(position: Position, what: string): void {
    this.faults.push({ ...position, what });
  }

  request(tree: CstNode): RequestResult {
    const children = tree.children;
    const value = this.requestOf(children);
    return this.faults.length > 0 || !value ? failure(this.faults) : { ok: true, value };
  }

  private requestOf(children: CstNode['children']): Request | undefined {
    if (children['runs']) return { kind: 'run', draft: this.runs(children['runs'][0] as CstNode) };
    for (const kind of ['show', 'cancel', 'why'] as const) {
      const node = children[kind]?.[0] as CstNode | undefined;
      if (!node || !('children' in node)) continue;
      const target = firstToken(node, 'target')!.image;
      return {
        kind,
        target,
        pipeline: node.children['pipeline'] !== undefined || !target.startsWith('req-'),
      };
    }
    const retry = children['retry']?.[0] as CstNode | undefined;
    if (retry && 'children' in retry) {
      return {
        kind: 'retry',
        target: firstToken(retry, 'target')!.image,
        step: firstToken(retry, 'step')!.image,
      };
    }
    return { kind: children['help'] ? 'help' : 'quit' };
  }

  private runs(node: CstNode): Draft {
    const children = node.children;
    const steps: DraftStep[] = [];
    // Sorted into the order of the text: the tree has a separate list for each kind of run.
    const runsInOrder = [
      ...((children['run'] ?? []) as CstNode[]).map((run) => ({
        run,
        after: undefined as CstNode | undefined,
        chained: false,
      })),
      ...((children['next'] ?? []) as CstNode[]).map((run) => ({ run, after: undefined, chained: true })),
      ...((children['afterRun'] ?? []) as CstNode[]).map((after) => ({
        run: after.children['run']![0] as CstNode,
        after,
        chained: false,
      })),
    ].sort((a, b) => startOffsetOf(a.run) - startOffsetOf(b.run));
    for (const { run, after, chained } of runsInOrder) {
      const previous = steps.at(-1);
      const needs = after
        ? ((after.children['Word'] ?? []) as IToken[]).map((t) => ({
            name: t.image,
            position: positionOf(t),
          }))
        : chained && previous
          ? [{ name: previous.name, position: previous.position }]
          : [];
      const step = this.step(run, needs);
      if (step) steps.push(step);
    }
    return {
      ...this.endings((children['ending'] ?? []) as CstNode[]),
      position: positionOf(firstToken(children['run']![0] as CstNode, 'className')!),
      steps,
    };
  }

  private endings(
    endings: readonly CstNode[],
  ): Pick<Draft, 'name' | 'startMs' | 'missed' | 'lateS' | 'onCancel'> {
    let name = this.defaultName;
    let startMs: number | null = null;
    let onCancel: Draft['onCancel'] = null;
    for (const ending of endings) {
      const pipelineName = firstToken(ending, 'pipelineName');
      if (pipelineName) name = pipelineName.image;
      else if (ending.children['time']) startMs = this.time(ending.children['time'][0] as CstNode);
      else onCancel = 'withdraw';
    }
    return { name, startMs, missed: null, lateS: null, onCancel };
  }

  private time(node: CstNode): number | null {
    const localTime = firstToken(node, 'LocalTime')!;
    const zone = firstToken(node, 'Zone')!;
    const time = parseMoment(`${localTime.image} ${zone.image}`, this.nowMs);
    if (!time)
      this.addFault(
        positionOf(localTime),
        `'${localTime.image} ${zone.image}' is not a valid time: write one such as 18:00 Asia/Karachi`,
      );
    return time?.toMillis() ?? null;
  }

  private step(run: CstNode, needs: DraftStep['needs']): DraftStep | undefined {
    const className = firstToken(run, 'className')!;
    const position = positionOf(className);
    const clauseTokens = new Map<string, IToken>();
    let dueMs: number | null = null;
    const types: string[] = [];
    for (const clause of (run.children['clause'] ?? []) as CstNode[]) {
      for (const [key, nodes] of Object.entries(clause.children)) {
        const firstNode = nodes[0]!;
        if (key === 'counted') this.counted(firstNode as CstNode, clauseTokens);
        else if (key === 'due') dueMs = this.time(firstNode as CstNode);
        else if (key === 'typeName') types.push(...(nodes as IToken[]).map((t) => t.image));
        else if ('image' in firstNode) this.recordClause(clauseTokens, key, firstNode);
      }
    }
    const text = (key: string): string | undefined => clauseTokens.get(key)?.image;
    const amount = (key: string): number | undefined =>
      clauseTokens.has(key) ? Number(text(key)) : undefined;
    const duration = (key: string): number | undefined =>
      clauseTokens.has(key) ? parseSeconds(text(key)!) : undefined;
    const missing = (what: string): void =>
      this.addFault(position, `'${className.image}' does not specify ${what}`);
    const kind = (text('kind')?.toLowerCase() ?? 'array') as Kind;
    const cpus = amount('cpus');
    const memoryGb = clauseTokens.has('memory') ? parseGigabytes(text('memory')!) : undefined;
    if (cpus === undefined) missing('cpus: write for instance "5 cpus"');
    if (memoryGb === undefined) missing('memory: write for instance "18 GB"');
    if (!clauseTokens.has('imageName')) missing('its image: write for instance "with image img-07 (6 GB)"');
    const tasks = amount('tasks') ?? 1;
    if (!Number.isInteger(tasks) || tasks < 1)
      this.addFault(positionOf(clauseTokens.get('tasks')!), 'write a whole number of tasks from 1');
    if (kind === 'service' && (dueMs !== null || clauseTokens.has('deadline'))) {
      this.addFault(position, 'a service never completes, so it has no deadline: take it away');
    }
    if (this.faults.length > 0) return undefined;
    const shape: JobShape = {
      class: className.image,
      team: firstToken(run, 'team')!.image as TeamName,
      kind,
      priority: (text('priorityName')?.toLowerCase() ?? 'normal') as Priority,
      tasks,
      cpus: cpus!,
      gpus: amount('gpus') ?? 0,
      memoryGb: memoryGb!,
      image: text('imageName') as ImageName,
      imageGb: parseGigabytes(text('imageSize')!)!,
      types: types.length > 0 ? (types as TypeName[]) : null,
      zone: (text('zoneName') as ZoneName | undefined) ?? null,
      oneZone: clauseTokens.has('oneZone'),
      spread: clauseTokens.has('spread'),
      spot: clauseTokens.has('spot'),
      estimateS: duration('estimate') ?? (kind === 'service' ? 0 : 60),
      checkpointS: duration('checkpoint') ?? 0,
      saveS: duration('save') ?? 0,
      deadlineS: duration('deadline') ?? null,
      ...(clauseTokens.has('widthMost')
        ? {
            elastic: {
              least: Math.min(amount('widthLeast')!, amount('widthMost')!),
              most: amount('widthMost')!,
              giveBackS: duration('giveBack') ?? DEFAULT_RECLAIM_BOUND_S,
              rentUpTo: 0,
            },
          }
        : {}),
      ...(clauseTokens.has('headRoom') ? { headRoom: amount('headRoom')! } : {}),
    };
    const fault = elasticSpecError(shape);
    if (fault !== undefined) this.addFault(position, fault);
    const name = firstToken(run, 'stepName')?.image ?? className.image;
    return {
      name,
      templateName: name,
      shape,
      needs,
      when: clauseTokens.has('always') ? 'always' : 'succeeded',
      retries: amount('retries') ?? null,
      backoffS: duration('backoff') ?? null,
      dueMs,
      id: text('jobId') ?? null,
      position,
    };
  }

  private counted(node: CstNode, clauseTokens: Map<string, IToken>): void {
    const amount = firstToken(node, 'amount')!;
    for (const key of ['tasks', 'cpus', 'gpus'])
      if (node.children[key]) this.recordClause(clauseTokens, key, amount);
  }

  private recordClause(clauseTokens: Map<string, IToken>, key: string, token: IToken): void {
    if (carriesNoValue(key)) return;
    if (clauseTokens.has(key))
      this.addFault(positionOf(token), `'${token.image}': this was said before in the same step`);
    clauseTokens.set(key, token);
  }
}

/** Whether the key is of keywords or parentheses, whose tokens carry no value. */
const carriesNoValue = (key: string): boolean => key.endsWith('Word') || key === 'Open' || key === 'Close';

const firstToken = (node: CstNode, key: string): IToken | undefined =>
  node.children[key]?.[0] as IToken | undefined;
const startOffsetOf = (node: CstNode): number => firstToken(node, 'className')!.startOffset;
