/**
 * Decides whether a submitted pipeline may be accepted: its structure, its size, whether its steps can ever run, and the
 * quotas of its teams. It reads this node's caches and never writes.
 */
import type { Reply } from '../../transport/http.js';
import type { TeamName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { PipelineSpec, StepFault } from '../../protocol/pipelines.js';
import type { PipelineCache } from '../../storage/pipeline-cache.js';
import type { FeasibilityVerdict } from '../users/feasibility-checker.js';
import { refusalReply, refuse, refuseSteps, type Refusal } from '../users/refusals.js';
import { isStepHeld } from './pipeline-transition.js';
import { findStructureFaults } from './structure-validation.js';

export interface PipelineLimits {
  /** Maximum number of steps of one pipeline. */
  readonly maxSteps: number;
  /** Maximum number of live pipelines of one team. */
  readonly maxPerTeam: number;
  /** Maximum number of held steps of all pipelines together. */
  readonly maxHeldSteps: number;
}

export interface PipelineValidationDependencies {
  readonly pipelineCache: Pick<PipelineCache, 'all'>;
  readonly limits: PipelineLimits;
  /** Whether a job can ever run: the same check and the same messages as for a single job. */
  readonly checkFeasibility: (spec: JobSpec) => FeasibilityVerdict;
  /** Why feasibility cannot be checked or nothing can be accepted at present; undefined if both are possible. */
  readonly unreadyReason: () => Refusal | undefined;
}

/** Validates pipelines before they are written. Each method returns the refusal, or undefined. */
export class PipelineValidator {
  constructor(private readonly dependencies: PipelineValidationDependencies) {}

  /** Everything that depends on the pipeline, the machine types and the team limits alone. */
  refusalOf(spec: PipelineSpec): Reply | undefined {
    const { limits, unreadyReason } = this.dependencies;
    const faults = findStructureFaults(spec);
    if (faults.length > 0) return refuseSteps('malformedPipeline', faults);
    if (spec.steps.length > limits.maxSteps) {
      return refuse('tooManySteps', limits.maxSteps, spec.steps.length);
    }
    const unready = unreadyReason();
    if (unready) return refusalReply(unready);
    return this.infeasibleSteps(spec);
  }

  private infeasibleSteps(spec: PipelineSpec): Reply | undefined {
    const faults: StepFault[] = [];
    let unknown: Refusal | undefined;
    for (const step of spec.steps) {
      const verdict = this.dependencies.checkFeasibility(step.job);
      if (verdict.kind === 'infeasible') faults.push({ step: step.name, message: verdict.refusal.message });
      else if (verdict.kind === 'unknown') unknown ??= verdict.refusal;
    }
    if (faults.length > 0) return refuseSteps('infeasibleSteps', faults);
    return unknown && refusalReply(unknown);
  }

  /** Checks the quotas against the pipelines that this node knows. */
  quotaRefusalOf(spec: PipelineSpec): Reply | undefined {
    const { limits } = this.dependencies;
    const { heldSteps, pipelinesOf } = this.usageWithout(spec);
    for (const team of teamsOf(spec)) {
      if ((pipelinesOf.get(team) ?? 0) >= limits.maxPerTeam) {
        return refuse('teamPipelineQuota', team, limits.maxPerTeam);
      }
    }
    if (heldSteps + spec.steps.length > limits.maxHeldSteps) {
      return refuse('heldStepQuota', heldSteps, limits.maxHeldSteps);
    }
    return undefined;
  }

  /** Held steps, and live pipelines of each team, excluding the submitted pipeline. */
  private usageWithout(spec: PipelineSpec): {
    readonly heldSteps: number;
    readonly pipelinesOf: ReadonlyMap<TeamName, number>;
  } {
    let heldSteps = 0;
    const pipelinesOf = new Map<TeamName, number>();
    for (const other of this.dependencies.pipelineCache.all()) {
      if (other.id === spec.id) continue;
      other.steps.forEach((_, index) => (heldSteps += isStepHeld(other.head.progress, index) ? 1 : 0));
      for (const team of teamsOf(other)) pipelinesOf.set(team, (pipelinesOf.get(team) ?? 0) + 1);
    }
    return { heldSteps, pipelinesOf };
  }
}

const teamsOf = ({ steps }: Pick<PipelineSpec, 'steps'>): ReadonlySet<TeamName> =>
  new Set(steps.map((step) => step.job.team));
