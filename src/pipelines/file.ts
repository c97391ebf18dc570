import { isMap, isScalar, LineCounter, parseDocument, type Document, type Node } from 'yaml';
import * as z from 'zod';
import type { ImageName, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { DEFAULT_RECLAIM_BOUND_S, elasticSpecError, MAX_TASKS, type JobShape } from '../protocol/jobs.js';
import { findCycle } from '../protocol/pipeline-graph.js';
import { isTimeZone, parseMoment, parseEvery, type Calendar } from './calendar.js';
import type { Draft, DraftStep } from './draft.js';
import { nearestName } from './draft.js';
import { sortAndDeduplicate, type Fault, type Position } from './faults.js';
import { parseGigabytes, parseImage, parseSeconds } from './values.js';
import { messageOf } from '../transport/error-message.js';

/**
 * Pipeline files, written in YAML. All faults of a file are reported together, each with its position and what to write
 * instead. Of a file with a syntax error, the part before the error is still checked.
 */
export interface PipelineFile {
  readonly draft: Draft;
  readonly calendar: Calendar | undefined;
}

export type FileResult =
  { readonly ok: true; readonly value: PipelineFile } | { readonly ok: false; readonly faults: Fault[] };

const MAX_FILE_BYTES = 1024 * 1024;
const MAX_EXPANDED_STEPS = 5000;

const shortText = z.string().min(1).max(200);
/** A value that users may write in several forms. If `parse` rejects it, the fault is the hint: what to write. */
const valueFrom = <T>(parse: (value: string | number) => T | undefined, hint: string) =>
  z.union([z.string(), z.number()], { error: hint }).transform((value, ctx): T => {
    const parsed = parse(value);
    if (parsed === undefined) {
      ctx.addIssue({ code: 'custom', message: hint });
      return z.NEVER;
    }
    return parsed;
  });
const duration = valueFrom(parseSeconds, 'write a duration such as 35s, 10m or 1h 30m');
const size = valueFrom(parseGigabytes, 'write a size such as 18 GB');
const imageValue = valueFrom(
  (v) => parseImage(String(v)),
  'write an image with its size, such as img-07 (6 GB)',
);
const taskCount = z
  .number()
  .int()
  .min(1, 'write a whole number from 1')
  .max(MAX_TASKS, `at most ${MAX_TASKS}`);
const nonNegativeNumber = z.number().nonnegative('write a number from 0');
const nameList = z.union([shortText, z.array(shortText)]).transform((v) => (Array.isArray(v) ? v : [v]));

const jobFields = {
  class: shortText,
  team: shortText,
  kind: z.enum(['array', 'gang', 'service'], { error: 'write array, gang or service' }),
  priority: z.enum(['production', 'high', 'normal', 'low'], {
    error: 'write production, high, normal or low',
  }),
  tasks: taskCount,
  cpus: nonNegativeNumber,
  gpus: nonNegativeNumber,
  memory: size,
  image: imageValue,
  types: nameList,
  zone: shortText,
  'one-zone': z.boolean('write true or false'),
  spread: z.boolean('write true or false'),
  spot: z.boolean('write true or false'),
  estimate: duration,
  checkpoint: duration,
  save: duration,
  deadline: z.union([z.string(), z.number()]),
  width: z.strictObject({
    least: z.number().int().min(0).optional(),
    most: taskCount,
    'give-back': duration.optional(),
    'rent-up-to': nonNegativeNumber.optional(),
  }),
  'head-room': z.number().min(0).max(10),
  retries: z.union(
    [
      z.number().int().min(0),
      z.strictObject({ count: z.number().int().min(0), backoff: duration.optional() }),
    ],
    { error: 'write a number of retries, or {count: 3, backoff: 10s}' },
  ),
  when: z.enum(['succeeded', 'always'], { error: 'write succeeded or always' }),
};
const defaultsSchema = z.strictObject(jobFields).partial();
const stepSchema = z
  .strictObject({
    ...jobFields,
    id: shortText,
    needs: nameList,
    matrix: z.record(shortText, z.array(z.union([shortText, z.number()])).min(1, 'write at least one value')),
  })
  .partial();
const calendarSchema = z.strictObject({
  zone: shortText,
  every: shortText,
  except: z.array(z.union([z.string(), z.date()])).optional(),
  missed: z.enum(['run', 'skip'], { error: 'write run or skip' }).optional(),
  late: duration.optional(),
});
const fileSchema = z.strictObject({
  pipeline: z.string({ error: 'write the name of the pipeline' }),
  team: shortText.optional(),
  'on-cancel': z.enum(['hold', 'withdraw'], { error: 'write hold or withdraw' }).optional(),
  start: z.string().optional(),
  calendar: calendarSchema.optional(),
  defaults: defaultsSchema.optional(),
  steps: z.record(z.string(), z.unknown(), { error: 'write a map with each step under its name' }),
});

type Step = z.infer<typeof stepSchema>;
type Path = readonly PropertyKey[];

/** Positions in the source of the values and keys of the parsed document. */
class YamlPositions {
  constructor(
    private readonly document: Document.Parsed,
    private readonly lineCounter: LineCounter,
  ) {}

  atOffset(offset: number): Position {
    const { line, col } = this.lineCounter.linePos(offset);
    return { line, column: col };
  }

  /** Position of the value at this path, or of its nearest ancestor in the document. */
  ofValue(path: Path): Position {
    for (let length = path.length; length >= 0; length--) {
      const node = this.document.getIn(path.slice(0, length) as unknown[], true) as Node | undefined;
      const start = node && typeof node === 'object' && 'range' in node ? node.range?.[0] : undefined;
      if (start !== undefined) return this.atOffset(start);
    }
    return { line: 1, column: 1 };
  }

  /** Position of a key of the map at this path, or of the map if it lacks the key. */
  ofKey(path: Path, key: string): Position {
    const map = this.document.getIn(path as unknown[], true);
    if (isMap(map)) {
      for (const pair of map.items) {
        if (isScalar(pair.key) && String(pair.key.value) === key && pair.key.range)
          return this.atOffset(pair.key.range[0]);
      }
    }
    return this.ofValue(path);
  }
}

export function parsePipelineFile(source: string, nowMs: number): FileResult {
  const fail = (faults: Fault[]): FileResult => ({ ok: false, faults: sortAndDeduplicate(faults) });
  if (Buffer.byteLength(source) > MAX_FILE_BYTES) {
    return fail([{ line: 1, column: 1, what: 'the file is larger than 1 MiB: split it' }]);
  }
  const lineCounter = new LineCounter();
  const document = parseDocument(source, {
    lineCounter,
    uniqueKeys: true,
    stringKeys: true,
    maxAliasCount: 100,
  } as never);
  const positions = new YamlPositions(document, lineCounter);
  const syntaxFaults = document.errors.map((error): Fault => ({
    ...positions.atOffset(error.pos[0]),
    what: messageWithoutPosition(error.message),
  }));
  const faults: Fault[] = [];
  let file: PipelineFile | undefined;
  try {
    file = new PipelineFileReader(positions, nowMs, faults).read(
      document.toJS({ maxAliasCount: 100 }) as unknown,
    );
  } catch (error) {
    // The YAML library refuses, for example, aliases that expand without bound.
    faults.push({ line: 1, column: 1, what: messageWithoutPosition(messageOf(error)) });
  }
  if (syntaxFaults.length > 0) {
    // After the first syntax error, the library's document is a guess: faults found there are dropped.
    const firstLine = Math.min(...syntaxFaults.map((f) => f.line));
    return fail([...syntaxFaults, ...faults.filter((f) => f.line < firstLine && f.line > 1)]);
  }
  return faults.length > 0 || !file ? fail(faults) : { ok: true, value: file };
}

const elasticOf = (step: Step): Pick<JobShape, 'elastic' | 'headRoom'> => ({
  ...(step.width
    ? {
        elastic: {
          least: Math.min(step.width.least ?? 0, step.width.most),
          most: step.width.most,
          giveBackS: step.width['give-back'] ?? DEFAULT_RECLAIM_BOUND_S,
          rentUpTo: step.width['rent-up-to'] ?? 0,
        },
      }
    : {}),
  ...(step['head-room'] ? { headRoom: step['head-room'] } : {}),
});

const needsOf = (step: unknown): string[] => {
  const needs = typeof step === 'object' && step !== null ? (step as { needs?: unknown }).needs : undefined;
  const list: unknown[] = Array.isArray(needs) ? needs : [needs];
  return list.filter((n) => typeof n === 'string');
};

const messageWithoutPosition = (message: string): string =>
  message.split('\n')[0]!.replace(/ at line \d+, column \d+:?$/, '');

class PipelineFileReader {
  constructor(
    private readonly positions: YamlPositions,
    private readonly nowMs: number,
    private readonly faults: Fault[],
  ) {}

  private addFault(position: Position, what: string): void {
    this.faults.push({ ...position, what });
  }

  /** Adds a fault for each issue that the schema finds; for an unknown key, it suggests the nearest known one. */
  private validate<T>(
    schema: z.ZodType<T>,
    value: unknown,
    path: Path,
    knownKeys: readonly string[],
  ): T | undefined {
    const result = schema.safeParse(value);
    if (result.success) return result.data;
    for (const issue of result.error.issues) {
      const valuePath = [...path, ...issue.path];
      if (issue.code === 'unrecognized_keys') {
        for (const key of issue.keys) {
          const suggestion = nearestName(key, issue.path.length === 0 ? knownKeys : []);
          this.addFault(
            this.positions.ofKey(valuePath, key),
            `'${key}' is not known here${suggestion === undefined ? '' : `: did you mean '${suggestion}'?`}`,
          );
        }
      } else {
        const pathText = valuePath.map(String).join('.');
        const isMissing =
          issue.code === 'invalid_type' && issue.input === undefined && issue.message.includes('undefined');
        this.addFault(
          this.positions.ofValue(valuePath),
          isMissing
            ? `'${pathText}' is missing`
            : `${pathText === '' ? 'the file' : `'${pathText}'`}: ${issue.message}`,
        );
      }
    }
    return undefined;
  }

  read(value: unknown): PipelineFile | undefined {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      this.addFault({ line: 1, column: 1 }, 'a pipeline file is a map: begin with "pipeline: NAME"');
      return undefined;
    }
    const file = this.validate(fileSchema, value, [], Object.keys(fileSchema.shape));
    // Steps are validated even if the rest of the file has faults, so that all faults are reported together.
    const rawSteps = (value as { steps?: unknown }).steps;
    const defaults =
      this.validate(defaultsSchema, (value as { defaults?: unknown }).defaults ?? {}, ['defaults'], []) ?? {};
    const team = (value as { team?: unknown }).team;
    const steps: DraftStep[] = [];
    const needsByStep = new Map<string, readonly string[]>();
    const knownNames = new Set<string>();
    if (typeof rawSteps === 'object' && rawSteps !== null && !Array.isArray(rawSteps)) {
      for (const [name, step] of Object.entries(rawSteps as Record<string, unknown>)) {
        knownNames.add(name);
        needsByStep.set(name, needsOf(step));
        const validated = this.validate(
          stepSchema,
          step ?? {},
          ['steps', name],
          Object.keys(stepSchema.shape),
        );
        if (!validated) continue;
        const fields = { ...(typeof team === 'string' ? { team } : {}), ...defaults, ...validated };
        for (const variant of this.expandMatrix(name, fields)) {
          knownNames.add(variant.name);
          const draftStep = this.buildStep(name, variant.name, variant.step);
          if (draftStep) steps.push(draftStep);
          if (steps.length > MAX_EXPANDED_STEPS) {
            this.addFault(
              this.positions.ofKey(['steps'], name),
              `the pipeline has more than ${MAX_EXPANDED_STEPS} steps: split the file`,
            );
            return undefined;
          }
        }
      }
    }
    this.checkNeeds(needsByStep, knownNames);
    const calendar = file?.calendar && this.buildCalendar(file.calendar);
    const start = file?.start === undefined ? undefined : parseMoment(file.start, this.nowMs);
    if (file?.start !== undefined && !start) {
      this.addFault(
        this.positions.ofValue(['start']),
        "'start': write a time with its zone, such as 2026-12-02 18:00 Asia/Karachi",
      );
    }
    if (!file || this.faults.length > 0) return undefined;
    return {
      calendar,
      draft: {
        name: file.pipeline,
        position: this.positions.ofValue(['pipeline']),
        steps,
        startMs: start?.toMillis() ?? null,
        missed: file.calendar?.missed ?? null,
        lateS: file.calendar?.late ?? null,
        onCancel: file['on-cancel'] ?? null,
      },
    };
  }

  /** Checks the needs of all steps, including steps with other faults. */
  private checkNeeds(
    needsByStep: ReadonlyMap<string, readonly string[]>,
    knownNames: ReadonlySet<string>,
  ): void {
    const stepNames = [...needsByStep.keys()];
    const indexByName = new Map(stepNames.map((name, i) => [name, i]));
    for (const [name, needs] of needsByStep) {
      needs.forEach((need, i) => {
        const position = this.needPosition(['steps', name], i);
        if (need === name) this.addFault(position, `'${name}' needs itself: take that away`);
        else if (!knownNames.has(need)) {
          const suggestion = nearestName(need, [...knownNames]);
          this.addFault(
            position,
            `there is no step '${need}'${suggestion === undefined ? '' : `: did you mean '${suggestion}'?`}`,
          );
        }
      });
    }
    const graph = stepNames.map((name) =>
      needsByStep.get(name)!.flatMap((need) => (need === name ? [] : (indexByName.get(need) ?? []))),
    );
    const cycle = findCycle(graph);
    if (!cycle) return;
    const cycleNames = [...cycle, cycle[0]!].map((i) => stepNames[i]!);
    const firstPosition = this.positions.ofKey(['steps'], cycleNames[0]!);
    this.addFault(
      firstPosition,
      `it waits for itself: ${cycleNames.join(' needs ')}; take one of these needs away`,
    );
  }

  /** One step for every combination of the matrix, with its values substituted for `${name}`. */
  private expandMatrix(name: string, step: Step): { readonly name: string; readonly step: Step }[] {
    if (!step.matrix) return [{ name, step }];
    let combinations: Record<string, string>[] = [{}];
    for (const [key, values] of Object.entries(step.matrix)) {
      combinations = combinations.flatMap((c) => values.map((v) => ({ ...c, [key]: String(v) })));
      if (combinations.length > MAX_EXPANDED_STEPS) {
        this.addFault(
          this.positions.ofValue(['steps', name, 'matrix']),
          `the matrix makes more than ${MAX_EXPANDED_STEPS} steps: split it`,
        );
        return [];
      }
    }
    return combinations.map((combination) => {
      const substitute = (value: unknown): unknown =>
        typeof value === 'string'
          ? value.replace(/\$\{([\w-]+)\}/g, (placeholder, key: string) => {
              if (Object.hasOwn(combination, key)) return combination[key]!;
              this.addFault(
                this.positions.ofValue(['steps', name]),
                `'${placeholder}' is not in the matrix: write one of ${Object.keys(combination).join(', ')}`,
              );
              return placeholder;
            })
          : value;
      const substituted = Object.fromEntries(
        Object.entries(step).map(([k, v]) => [k, substitute(v)]),
      ) as Step;
      const image = step.image && { name: String(substitute(step.image.name)), gb: step.image.gb };
      return {
        name: [name, ...Object.values(combination)].join('-'),
        step: { ...substituted, ...(image ? { image } : {}) },
      };
    });
  }

  private buildStep(templateName: string, name: string, step: Step): DraftStep | undefined {
    const path = ['steps', templateName];
    const stepPosition = this.positions.ofKey(['steps'], templateName);
    let isComplete = true;
    const required = <K extends 'team' | 'tasks' | 'cpus' | 'memory' | 'image'>(
      key: K,
    ): NonNullable<Step[K]> => {
      const value = step[key];
      if (value === undefined) {
        isComplete = false;
        this.addFault(
          stepPosition,
          `step '${templateName}' does not specify '${key}': write it there or under "defaults"`,
        );
      }
      return value as NonNullable<Step[K]>;
    };
    const kind = step.kind ?? 'array';
    const tasks = step.tasks ?? 1;
    const team = required('team');
    const cpus = required('cpus');
    const memory = required('memory');
    const image = required('image');
    const deadline = this.parseDeadline(step.deadline, path);
    if (kind === 'service' && step.deadline !== undefined) {
      this.addFault(
        this.positions.ofValue([...path, 'deadline']),
        'a service never completes, so it has no deadline: take it away',
      );
    }
    if ((step.checkpoint ?? 0) === 0 && (step.save ?? 0) > 0) {
      this.addFault(
        this.positions.ofValue([...path, 'save']),
        '"save" has a meaning only with checkpoints: write "checkpoint" too',
      );
    }
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- closures above clear `isComplete`
    if (!isComplete || deadline === undefined) return undefined;
    const shape: JobShape = {
      class: step.class ?? templateName,
      team: team as TeamName,
      kind,
      priority: step.priority ?? 'normal',
      tasks,
      cpus,
      gpus: step.gpus ?? 0,
      memoryGb: memory,
      image: image.name as ImageName,
      imageGb: image.gb,
      types: (step.types as TypeName[] | undefined) ?? null,
      zone: (step.zone as ZoneName | undefined) ?? null,
      oneZone: step['one-zone'] ?? false,
      spread: step.spread ?? false,
      spot: step.spot ?? false,
      estimateS: step.estimate ?? (kind === 'service' ? 0 : 60),
      checkpointS: step.checkpoint ?? 0,
      saveS: step.save ?? 0,
      deadlineS: deadline.afterS,
      ...elasticOf(step),
    };
    const fault = elasticSpecError(shape);
    if (fault !== undefined)
      this.addFault(this.positions.ofValue([...path, step.width ? 'width' : 'head-room']), fault);
    const retries =
      typeof step.retries === 'number' ? { count: step.retries, backoff: undefined } : step.retries;
    return {
      name,
      templateName,
      shape,
      needs: (step.needs ?? []).map((need, i) => ({ name: need, position: this.needPosition(path, i) })),
      when: step.when ?? 'succeeded',
      retries: retries?.count ?? null,
      backoffS: retries?.backoff ?? null,
      dueMs: deadline.atMs,
      id: step.id ?? null,
      position: stepPosition,
    };
  }

  private needPosition(path: Path, i: number): Position {
    return this.positions.ofValue([...path, 'needs', i]);
  }

  /** A duration counts from when the step may start; a time with a zone is absolute. */
  private parseDeadline(
    value: string | number | undefined,
    path: Path,
  ): { readonly afterS: number | null; readonly atMs: number | null } | undefined {
    if (value === undefined) return { afterS: null, atMs: null };
    const afterS = parseSeconds(value);
    if (afterS !== undefined && afterS > 0) return { afterS, atMs: null };
    const due = typeof value === 'string' ? parseMoment(value, this.nowMs) : undefined;
    if (due) return { afterS: null, atMs: due.toMillis() };
    this.addFault(
      this.positions.ofValue([...path, 'deadline']),
      'write a duration such as 15m, or a time with its zone such as 18:00 Asia/Karachi',
    );
    return undefined;
  }

  private buildCalendar(section: z.infer<typeof calendarSchema>): Calendar | undefined {
    const every = parseEvery(section.every);
    if (!every) {
      this.addFault(
        this.positions.ofValue(['calendar', 'every']),
        "'calendar.every': write days and a time, such as day at 02:30, or monday, friday at 22:00",
      );
    }
    if (!isTimeZone(section.zone))
      this.addFault(
        this.positions.ofValue(['calendar', 'zone']),
        `'${section.zone}' is not a time zone: write one such as Asia/Karachi`,
      );
    const exceptedDates = new Set<string>();
    (section.except ?? []).forEach((entry, i) => {
      const date = typeof entry === 'string' ? entry : entry.toISOString().slice(0, 10);
      if (/^\d{4}-\d{2}-\d{2}$/.test(date) && !Number.isNaN(Date.parse(date))) exceptedDates.add(date);
      else
        this.addFault(
          this.positions.ofValue(['calendar', 'except', i]),
          "'calendar.except': write a date such as 2026-12-25",
        );
    });
    return every && { zone: section.zone, ...every, except: exceptedDates };
  }
}
