import { JobCache } from '../../src/storage/job-cache.js';
import { ClusterState, type Job, type Machine } from '../../src/cluster/cluster-state.js';
import type { StoreKey } from '../../src/protocol/ids.js';
import { err } from '../../src/transport/result.js';
import type { Command } from '../../src/protocol/heartbeats.js';
import { FencedWriter, type FencedWriterDependencies } from '../../src/coordination/leader/fenced-writer.js';
import { CancelledJobStops } from '../../src/coordination/dispatch/cancelled-job-stops.js';
import {
  HeartbeatAuthority,
  type HeartbeatAuthorityDependencies,
} from '../../src/coordination/election/heartbeat-authority.js';
import { IsolatedLeader } from '../../src/coordination/election/isolated-leader.js';
import { GangReservations } from '../../src/coordination/scheduling/gang-reservations.js';
import {
  BackfillReservations,
  type ReservationSnapshot,
} from '../../src/coordination/fair-share/backfill-reservations.js';
import { PipelineWriter } from '../../src/coordination/pipelines/pipeline-writer.js';
import { refuse } from '../../src/coordination/users/refusals.js';
import { PipelineCache } from '../../src/storage/pipeline-cache.js';
import { CompletionWriter } from '../../src/coordination/completion/completion-writer.js';

/** Injects one fault by replacing members of the program's classes, and registers how to undo each replacement. */
type Patch = (undo: (back: () => void) => void) => void;

/** The prototype of a class, untyped, since most of the members replaced here are private. */
const prototypeOf = (of: { readonly prototype: unknown }): Record<string, unknown> =>
  of.prototype as Record<string, unknown>;

function replaceMember(
  undo: (back: () => void) => void,
  target: Record<string, unknown>,
  name: string,
  replacement: unknown,
): void {
  // Replacing a member that no longer exists would inject no fault, and the search would find nothing.
  if (!(name in target)) throw new Error(`faults: the class has no member '${name}' to replace`);
  const before = target[name];
  target[name] = replacement;
  undo(() => (target[name] = before));
}

/** Faults that the search must find. They exist only while the search runs; the program itself contains none of them. */
export const FAULTS: Readonly<Record<string, Patch>> = {
  'a delayed copy of a heartbeat is accepted as current': (undo) => {
    const { addMachine } = prototypeOf(ClusterState) as { addMachine: (...a: unknown[]) => object };
    replaceMember(
      undo,
      prototypeOf(ClusterState),
      'addMachine',
      function (this: ClusterState, ...a: unknown[]) {
        // No heartbeat ever counts as older than the one before.
        return Object.defineProperty(addMachine.apply(this, a), 'heartbeatSequence', {
          get: () => 0n,
          set: () => undefined,
        });
      },
    );
  },
  'an isolated leader answers agents indefinitely': (undo) => {
    replaceMember(
      undo,
      prototypeOf(HeartbeatAuthority),
      'mayRenewLeases',
      function (this: { dependencies: HeartbeatAuthorityDependencies }) {
        return this.dependencies.election.leadership !== undefined;
      },
    );
    replaceMember(undo, prototypeOf(IsolatedLeader), 'shouldTurnAway', () => false);
  },
  // A leader without a loaded cluster state passes an array for the placements, and replies without stops, as earlier versions did.
  'a leader that is loading the cluster state stops no cancelled tasks': (undo) => {
    const { complete } = prototypeOf(CancelledJobStops) as { complete: CancelledJobStops['complete'] };
    replaceMember(
      undo,
      prototypeOf(CancelledJobStops),
      'complete',
      function (this: CancelledJobStops, ...a: Parameters<CancelledJobStops['complete']>) {
        const [, commands, placements] = a;
        return Array.isArray(placements) ? commands : complete.apply(this, a);
      },
    );
  },
  'writes omit the fencing condition': (undo) => {
    replaceMember(
      undo,
      prototypeOf(FencedWriter),
      'write',
      function (this: { dependencies: FencedWriterDependencies }, _: never, ...a: [never, never, never]) {
        return this.dependencies.store.txn([], ...a);
      },
    );
  },
  'a completed task is removed before its completion is persisted': (undo) => {
    const { endPlacement } = prototypeOf(ClusterState) as { endPlacement: (...a: unknown[]) => void };
    replaceMember(
      undo,
      prototypeOf(ClusterState),
      'endPlacement',
      function (
        this: ClusterState,
        p: Parameters<ClusterState['completePlacement']>[0],
        how: string,
        now: unknown,
      ) {
        endPlacement.call(this, p, how, now);
        if (p.ended?.outcome === 'done') {
          p.job.done.add(p.index);
          this.completePlacement(p);
        }
      },
    );
  },
  // Every job writes its own completion records, these writes have no conditions, and one of unknown outcome counts as not applied.
  'a delayed completion record overwrites a newer one': (undo) => {
    const { referenceBatchFromJob } = prototypeOf(ClusterState) as {
      referenceBatchFromJob: ClusterState['referenceBatchFromJob'];
    };
    replaceMember(
      undo,
      prototypeOf(ClusterState),
      'referenceBatchFromJob',
      function (this: ClusterState, job: Job, key: StoreKey) {
        referenceBatchFromJob.call(this, job, key);
        for (let i = 0; i < 50; i++) job.completionBatches.add(`finished/none-${i}` as StoreKey);
      },
    );
    const { write } = prototypeOf(FencedWriter) as { write: FencedWriter['write'] };
    replaceMember(
      undo,
      prototypeOf(FencedWriter),
      'write',
      async function (
        this: { readonly dependencies: FencedWriterDependencies },
        ...a: Parameters<FencedWriter['write']>
      ) {
        const [, changes, rank] = a;
        if (!changes.some((c) => c.key.startsWith('finish/'))) return write.apply(this as never, a);
        const outcome = await this.dependencies.store.txn([], changes, rank);
        return !outcome.ok && outcome.error.kind === 'unknown'
          ? err({ ...outcome.error, kind: 'unavailable' as const })
          : outcome;
      },
    );
  },
  // A controller answers from its job cache, however stale.
  'reads are answered from a job cache that was not synced': (undo) => {
    const { sync } = prototypeOf(JobCache) as { sync: JobCache['sync'] };
    replaceMember(undo, prototypeOf(JobCache), 'sync', function (this: JobCache) {
      return this.loaded ? Promise.resolve(true) : sync.call(this);
    });
  },
  // Keys of shared completion records are reused, and deletes of these records have no condition.
  'a delayed delete removes a key that was created again': (undo) => {
    const { run } = prototypeOf(CompletionWriter) as { run: CompletionWriter['run'] };
    replaceMember(undo, prototypeOf(CompletionWriter), 'run', function (this: CompletionWriter) {
      let n = 0;
      Object.defineProperty(this, 'transactionCount', { get: () => n % 4, set: () => n++ });
      return run.call(this);
    });
  },
  'a job is completed while a plan that names it has no answer': (undo) => {
    const { addJob } = prototypeOf(ClusterState) as { addJob: ClusterState['addJob'] };
    replaceMember(
      undo,
      prototypeOf(ClusterState),
      'addJob',
      function (this: ClusterState, ...a: Parameters<ClusterState['addJob']>) {
        return Object.defineProperty(addJob.apply(this, a), 'unansweredWrite', {
          get: () => undefined,
          set: () => undefined,
        });
      },
    );
  },
  // An agent is left to remember 64 ended attempts, and told to forget the others at once.
  'ended attempts are forgotten while their starts may be repeated': (undo) => {
    const { complete } = prototypeOf(CancelledJobStops) as { complete: CancelledJobStops['complete'] };
    replaceMember(
      undo,
      prototypeOf(CancelledJobStops),
      'complete',
      function (this: CancelledJobStops, ...a: Parameters<CancelledJobStops['complete']>) {
        const [heartbeat, , placements] = a;
        const placed = new Set([...placements].map((placement) => placement.attempt));
        const ended = heartbeat.tasks.filter(
          (task) => task.state === 'exited' && task.cause !== 'done' && !placed.has(task.attempt),
        );
        const forgets = ended.slice(64).map((task): Command => ({ ...task, op: 'forget' }));
        return complete.apply(this, a)?.concat(forgets);
      },
    );
  },
  // Free capacity stays reserved for jobs that cannot be placed, and is never opened to others for a while.
  'a reservation never ends': (undo) => {
    replaceMember(undo, prototypeOf(GangReservations), 'mayReserve', () => true);
    const { update } = prototypeOf(BackfillReservations) as { update: BackfillReservations['update'] };
    replaceMember(
      undo,
      prototypeOf(BackfillReservations),
      'update',
      function (this: BackfillReservations, v: ReservationSnapshot) {
        const events = update.call(this, v);
        for (const r of this.reservations.values()) Object.assign(r, { endsAt: Infinity, readyAt: Infinity });
        return events;
      },
    );
  },
  'a quarantine never ends': (undo) => {
    const { addMachine } = prototypeOf(ClusterState) as { addMachine: (...a: unknown[]) => object };
    replaceMember(
      undo,
      prototypeOf(ClusterState),
      'addMachine',
      function (this: ClusterState, ...a: unknown[]) {
        const machine = addMachine.apply(this, a) as Machine;
        let until: number = machine.quarantinedUntil;
        return Object.defineProperty(machine, 'quarantinedUntil', {
          get: () => until,
          set: (to: number) => (until = to > until ? Infinity : until),
        });
      },
    );
  },
};

/** Faults of pipelines, which days of pipelines must find. */
export const PIPELINE_FAULTS: Readonly<Record<string, Patch>> = {
  'a comparison of ids that says nothing counts as ids that are taken': (undo) => {
    const { finishedIdClashes } = prototypeOf(PipelineWriter) as {
      finishedIdClashes: (...a: unknown[]) => Promise<unknown>;
    };
    replaceMember(
      undo,
      prototypeOf(PipelineWriter),
      'finishedIdClashes',
      async function (this: PipelineWriter, ...a: unknown[]) {
        const clash = await finishedIdClashes.apply(this, a);
        return clash === 'unknown' ? refuse('storeUnanswered') : clash;
      },
    );
  },
  'a late answer to an own write brings back a pipeline that has ended': (undo) => {
    const { recordWrite } = prototypeOf(PipelineCache) as { recordWrite: PipelineCache['recordWrite'] };
    replaceMember(
      undo,
      prototypeOf(PipelineCache),
      'recordWrite',
      function (this: PipelineCache, ...a: Parameters<PipelineCache['recordWrite']>) {
        const isCached = this.headOf(a[0].id) !== undefined;
        if (!isCached) Object.assign(this, { removed: new Map() });
        recordWrite.apply(this, a);
      },
    );
  },
};

/** Runs with the named fault injected, and undoes it afterwards. */
export async function withFault<T>(name: string, run: () => Promise<T>): Promise<T> {
  const back: (() => void)[] = [];
  ({ ...FAULTS, ...PIPELINE_FAULTS })[name]!((b) => void back.push(b));
  try {
    return await run();
  } finally {
    for (const b of back.reverse()) b();
  }
}
