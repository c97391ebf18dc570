import { createHash } from 'node:crypto';
import { distance } from 'fastest-levenshtein';
import type { WallMs } from '../transport/clock.js';
import { JOB_ID, PIPELINE_ID, type JobId, type PipelineId } from '../protocol/ids.js';
import type { JobShape } from '../protocol/jobs.js';
import {
  DEFAULT_BACKOFF_S,
  DEFAULT_LATE_S,
  type PipelineSpec,
  type StepSpec,
  type StepCondition,
} from '../protocol/pipelines.js';
import { findCycle } from '../protocol/pipeline-graph.js';
import type { Fault, Position } from './faults.js';

/** A step from a pipeline file or a typed request. `compile` assigns a missing job id and resolves the needs. */
export interface DraftStep {
  readonly name: string;
  readonly shape: JobShape;
  /** Names as written; the name of a step with a matrix stands for all steps it expands to. */
  readonly needs: readonly { readonly name: string; readonly position: Position }[];
  /** The step's name before matrix expansion. */
  readonly templateName: string;
  readonly when: StepCondition;
  readonly retries: number | null;
  readonly backoffS: number | null;
  readonly dueMs: number | null;
  readonly id: string | null;
  readonly position: Position;
}

export interface Draft {
  readonly name: string;
  readonly position: Position;
  readonly steps: readonly DraftStep[];
  readonly startMs: number | null;
  readonly missed: 'run' | 'skip' | null;
  readonly lateS: number | null;
  readonly onCancel: 'hold' | 'withdraw' | null;
}

/** The client chooses job ids. They derive from the names alone, so that a repeated submission names the same jobs. */
export function jobIdOf(pipeline: string, step: string): JobId {
  const digest = createHash('sha256').update(`${pipeline}\n${step}`).digest();
  return `req-${(digest.readBigUInt64BE(0) % 10n ** 15n).toString().padStart(15, '0')}` as JobId;
}

export type CompileResult =
  { readonly ok: true; readonly value: PipelineSpec } | { readonly ok: false; readonly faults: Fault[] };

/** Compiles a draft to the normal form, or returns all faults found. */
export function compile(draft: Draft): CompileResult {
  const faults: Fault[] = [];
  const addFault = (position: Position, what: string): void => void faults.push({ ...position, what });
  if (!PIPELINE_ID.test(draft.name)) {
    addFault(
      draft.position,
      `'${draft.name}' is not a valid pipeline name: write lower case letters, digits and hyphens, a letter first`,
    );
  }
  if (draft.steps.length === 0)
    addFault(draft.position, 'the pipeline has no steps: write at least one under "steps"');
  const indexesByName = new Map<string, number[]>();
  const nameById = new Map<string, string>();
  draft.steps.forEach((step, i) => {
    const sameName = indexesByName.get(step.name);
    if (sameName) addFault(step.position, `another step is called '${step.name}': give it a name of its own`);
    for (const name of new Set([step.name, step.templateName]))
      indexesByName.set(name, [...(indexesByName.get(name) ?? []), i]);
    if (step.id !== null && !JOB_ID.test(step.id))
      addFault(step.position, `'${step.id}' is not a valid job id: write one like req-000412, or none`);
    const id = step.id ?? jobIdOf(draft.name, step.name);
    const otherName = nameById.get(id);
    if (otherName !== undefined && otherName !== step.name)
      addFault(step.position, `step '${otherName}' also has the id ${id}: give one of them another id`);
    nameById.set(id, step.name);
  });
  const needs = draft.steps.map((step, i) => resolveNeeds(step, i, draft, indexesByName, addFault));
  if (faults.length === 0) {
    const cycle = findCycle(needs);
    if (cycle) {
      const names = [...cycle, cycle[0]!].map((i) => draft.steps[i]!.name);
      addFault(
        draft.steps[cycle[0]!]!.position,
        `it waits for itself: ${names.join(' needs ')}; take one of these needs away`,
      );
    }
  }
  if (faults.length > 0) return { ok: false, faults };
  return {
    ok: true,
    value: {
      id: draft.name as PipelineId,
      steps: draft.steps.map((step, i): StepSpec => ({
        name: step.name,
        job: { id: (step.id ?? jobIdOf(draft.name, step.name)) as JobId, ...step.shape },
        needs: needs[i]!,
        when: step.when,
        retries: step.retries,
        backoffS: step.backoffS ?? DEFAULT_BACKOFF_S,
        dueMs: step.dueMs as WallMs | null,
      })),
      startMs: draft.startMs as WallMs | null,
      missed: draft.missed ?? 'run',
      lateS: draft.lateS ?? DEFAULT_LATE_S,
      onCancel: draft.onCancel ?? 'hold',
    },
  };
}

function resolveNeeds(
  step: DraftStep,
  ownIndex: number,
  draft: Draft,
  indexesByName: ReadonlyMap<string, readonly number[]>,
  addFault: (position: Position, what: string) => void,
): number[] {
  const found = new Set<number>();
  for (const need of step.needs) {
    const indexes = indexesByName.get(need.name);
    if (!indexes) {
      const suggestion = nearestName(need.name, [...indexesByName.keys()]);
      addFault(
        need.position,
        `there is no step '${need.name}'${suggestion === undefined ? '' : `: did you mean '${suggestion}'?`}`,
      );
      continue;
    }
    for (const index of indexes) {
      if (index === ownIndex) addFault(need.position, `'${step.name}' needs itself: take that away`);
      else if (draft.steps[index]!.shape.kind === 'service') {
        addFault(
          need.position,
          `'${need.name}' is a service, which never completes: nothing can wait for it`,
        );
      } else found.add(index);
    }
  }
  return [...found].sort((a, b) => a - b);
}

/** The candidate with the smallest edit distance to the name; none if that exceeds both 2 and a third of its length. */
export function nearestName(name: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.max(2, Math.floor(name.length / 3)) + 1;
  for (const candidate of candidates) {
    const editDistance = distance(name, candidate);
    if (editDistance < bestDistance) {
      bestDistance = editDistance;
      best = candidate;
    }
  }
  return best;
}
