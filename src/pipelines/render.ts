import type { PipelineAnswer, PipelineSpec, StepAnswer } from '../protocol/pipelines.js';

/** Text output for users, kept short for slow connections: one line per item. */

const joinNames = (names: readonly string[], maxNames = 4): string =>
  names.length <= maxNames
    ? names.join(', ')
    : `${names.slice(0, maxNames).join(', ')} and ${names.length - maxNames} more`;

/** The steps in an order in which they can run, and what each waits for. */
export function planText(pipeline: PipelineSpec): string {
  const levels = levelsOf(pipeline);
  const lines = [`${pipeline.id}: ${pipeline.steps.length} steps, ${levels.length} one after the other`];
  if (pipeline.startMs !== null) lines.push(`starts at ${new Date(pipeline.startMs).toISOString()}`);
  levels.forEach((level, index) => {
    for (const i of level) {
      const step = pipeline.steps[i]!;
      const kindText = step.job.tasks === 1 ? step.job.kind : `${step.job.kind} of ${step.job.tasks}`;
      const needsText =
        step.needs.length === 0
          ? ''
          : ` waits for ${joinNames(step.needs.map((k) => pipeline.steps[k]!.name))}`;
      const conditionText =
        step.when === 'always' && step.needs.length > 0 ? ', whatever becomes of them' : '';
      lines.push(
        `${String(index + 1).padStart(3)}. ${step.name} (${step.job.id}, ${kindText})${needsText}${conditionText}`,
      );
    }
  });
  return lines.join('\n');
}

/** Indexes of the steps, grouped by the length of the longest chain of needs before each. */
export function levelsOf(pipeline: Pick<PipelineSpec, 'steps'>): number[][] {
  const depth = new Array<number>(pipeline.steps.length).fill(0);
  const unmetNeeds = pipeline.steps.map((s) => s.needs.length);
  const dependents: number[][] = pipeline.steps.map(() => []);
  pipeline.steps.forEach((s, i) => s.needs.forEach((n) => dependents[n]!.push(i)));
  const ready = unmetNeeds.flatMap((n, i) => (n === 0 ? [i] : []));
  // The list grows during the iteration: a step is added once all its needs have been visited.
  for (const step of ready) {
    for (const dependent of dependents[step]!) {
      depth[dependent] = Math.max(depth[dependent]!, depth[step]! + 1);
      unmetNeeds[dependent]!--;
      if (unmetNeeds[dependent] === 0) ready.push(dependent);
    }
  }
  const levels: number[][] = [];
  for (const i of [...ready].sort((a, b) => a - b)) (levels[depth[i]!] ??= []).push(i);
  return levels;
}

const stepText = (step: StepAnswer): string => {
  const waitsText = step.waitsFor.length > 0 ? `, waits for ${joinNames(step.waitsFor)}` : '';
  return `  ${step.state.padEnd(9)} ${step.name} (${step.job})${waitsText}${step.why === null ? '' : `, ${step.why}`}`;
};

export const summaryText = (answer: PipelineAnswer): string =>
  `${answer.id}: ${answer.state}, ${answer.done} of ${answer.steps} steps done`;

export const showText = (answer: PipelineAnswer): string =>
  [summaryText(answer), ...answer.list.map(stepText)].join('\n');

/** Only what changed since the previous answer, to keep the output short on slow connections. */
export function changesText(previous: PipelineAnswer | undefined, current: PipelineAnswer): string[] {
  const previousStates = new Map(previous?.list.map((s) => [s.job, s.state]));
  const lines = current.list
    .filter((s) => previousStates.get(s.job) !== s.state && (previous !== undefined || s.state !== 'held'))
    .map(stepText);
  if (previous?.state !== current.state || previous.done !== current.done) lines.push(summaryText(current));
  return lines;
}

export const isFinished = (answer: PipelineAnswer): boolean =>
  answer.list.length === 0 && !answer.more && answer.state !== 'held' && answer.state !== 'running';
