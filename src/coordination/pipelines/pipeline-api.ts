/**
 * The pipeline API of every node: check, submit, show, cancel and retry, straight to the store.
 *
 * Owns the routes, and joins the parts that accept, read and change pipelines. It needs no leader and never releases a
 * step.
 */
import type { Reply, Route } from '../../transport/http.js';
import { type JobId } from '../../protocol/ids.js';
import type { Condition } from '../../protocol/state.js';
import { PipelinePaths } from '../../protocol/wire.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { PipelineCache } from '../../storage/pipeline-cache.js';
import { PipelineKeys } from '../../storage/pipeline-records.js';
import type { StoreClient } from '../../storage/store-client.js';
import { PipelineAcceptance, type PipelineAcceptanceDependencies } from './pipeline-acceptance.js';
import { PipelineControl, type PipelineControlDependencies } from './pipeline-control.js';
import {
  PipelineStatusReader,
  type PipelineStatusDependencies,
  type StepJobState,
} from './pipeline-status.js';

export interface PipelineApiDependencies
  extends PipelineAcceptanceDependencies, PipelineControlDependencies, PipelineStatusDependencies {
  readonly store: StoreClient;
  readonly jobCache: JobCache;
  readonly pipelineCache: PipelineCache;
}

/** Handles the users' requests for pipelines and, for the job API, for single steps of pipelines. */
export class PipelineApi {
  private readonly status: PipelineStatusReader;
  private readonly acceptance: PipelineAcceptance;
  private readonly control: PipelineControl;

  constructor(private readonly dependencies: PipelineApiDependencies) {
    this.status = new PipelineStatusReader(dependencies);
    this.acceptance = new PipelineAcceptance(dependencies, this.status);
    this.control = new PipelineControl(dependencies, this.status);
  }

  get routes(): readonly Route[] {
    const { acceptance, control, status } = this;
    const id = (params: Readonly<Record<string, string>>): string => params['id'] ?? '';
    return [
      { method: 'POST', path: PipelinePaths.check, handle: (_, body) => acceptance.check(body) },
      { method: 'POST', path: PipelinePaths.all, handle: (_, body) => acceptance.submit(body) },
      { method: 'GET', path: PipelinePaths.one, handle: (params) => status.show(id(params), 0) },
      {
        method: 'GET',
        path: PipelinePaths.from,
        handle: (params) => status.show(id(params), Number(params['from']) || 0),
      },
      { method: 'POST', path: PipelinePaths.cancel, handle: (params) => control.cancel(id(params)) },
      {
        method: 'POST',
        path: PipelinePaths.retry,
        handle: (params) => control.retry(id(params), params['job'] ?? ''),
      },
    ];
  }

  /** Condition for accepting jobs: no pipeline was accepted that this node does not know. */
  epochCondition(): Condition {
    return { key: PipelineKeys.acceptance, modRevision: this.dependencies.pipelineCache.acceptanceRevision };
  }

  /** The state of a step's job that users see when no job record states it. */
  jobState(id: JobId): StepJobState {
    return this.status.jobState(id);
  }

  /** Cancels a held step; undefined if the step is no longer held, and its job record or completion record states what it is. */
  cancelHeld(id: JobId): Promise<Reply | undefined> {
    return this.control.cancelHeld(id);
  }
}
