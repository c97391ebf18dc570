/**
 * Faults of a pipeline that do not depend on machines and teams: duplicate names and ids, missing needs, cycles.
 */
import { findCycle } from '../../protocol/pipeline-graph.js';
import type { PipelineSpec, StepFault } from '../../protocol/pipelines.js';

/**
 * Returns the structural faults of a pipeline: duplicate names and ids, needs that do not exist, steps that wait for a service,
 * which never completes, and a cycle, reported with all its steps.
 */
export function findStructureFaults(pipeline: Pick<PipelineSpec, 'steps'>): StepFault[] {
  const faults: StepFault[] = [];
  const names = new Map<string, number>();
  const ids = new Map<string, string>();
  pipeline.steps.forEach((step, index) => {
    if (names.has(step.name)) faults.push({ step: step.name, message: 'another step has this name' });
    names.set(step.name, index);
    const otherName = ids.get(step.job.id);
    if (otherName !== undefined)
      faults.push({ step: step.name, message: `its id ${step.job.id} is also that of '${otherName}'` });
    ids.set(step.job.id, step.name);
    for (const neededIndex of step.needs) {
      const neededStep = pipeline.steps[neededIndex];
      if (!neededStep)
        faults.push({ step: step.name, message: `it needs step number ${neededIndex}, which is not there` });
      else if (neededStep.job.kind === 'service') {
        faults.push({
          step: step.name,
          message: `it needs '${neededStep.name}', a service, which never completes`,
        });
      }
    }
  });
  const cycle = findCycle(pipeline.steps.map((step) => step.needs));
  if (cycle) {
    const path = [...cycle, cycle[0]!].map((index) => pipeline.steps[index]!.name).join(' needs ');
    faults.push({ step: pipeline.steps[cycle[0]!]!.name, message: `it waits for itself: ${path}` });
  }
  return faults;
}
