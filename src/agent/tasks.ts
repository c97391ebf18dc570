import { join } from 'node:path';
import { mkdirSync } from 'node:fs';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import type { Result } from '../transport/result.js';
import type { Description } from '../protocol/descriptions.js';
import { taskName, type Attempt, type JobId, type TaskIndex } from '../protocol/ids.js';
import type { Cause, TaskState } from '../protocol/wire.js';
import type { Command, ReportedTask } from '../protocol/heartbeats.js';
import { GangMember } from './gangs.js';
import type { Images } from './images.js';
import type { Outputs } from './outputs.js';
import type { Processes, RunningProcess } from './processes.js';

export interface Capacity {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

export interface TasksDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  /** Address of the store, through which the members of a gang find each other. */
  readonly storeAddress: string;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly capacity: Capacity;
  /** Host name or address under which tasks on other machines reach this one. */
  readonly host: string;
  readonly describe: (id: JobId) => Promise<Result<Description | undefined, string>>;
  readonly processes: Processes;
  readonly images: Images;
  readonly outputs: Outputs;
  /** Parent folder of the working directories of attempts. */
  readonly workFolder: string;
  /** Parent folder of the checkpoints of tasks. */
  readonly savedFolder: string;
  readonly niceness: number;
  /** PATH of the tasks' environment. */
  readonly path: string;
  readonly onChange: () => void;
}

interface Task {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly key: string;
  state: TaskState;
  cause: Cause | undefined;
  saved: boolean;
  description: Description | undefined;
  image: string | undefined;
  process: RunningProcess | undefined;
  gangMember: GangMember | undefined;
  gpus: number[];
  /** Set when the task is being ended: the cause that it then reports, whatever the exit code of its program. */
  stopCause: Cause | undefined;
}

/** Exit code (EX_TEMPFAIL) of a program that was asked to stop and has saved its progress. */
export const SAVED_CODE = 75;

/** Tolerance for rounding errors in sums of capacity. */
const CAPACITY_EPSILON = 1e-9;

/** The tasks on this machine: executes commands by starting and ending processes. */
export class Tasks {
  private readonly tasks = new Map<string, Task>();
  private readonly freeGpus: number[];

  constructor(private readonly deps: TasksDeps) {
    this.freeGpus = Array.from({ length: Math.floor(deps.capacity.gpus) }, (_, index) => index);
  }

  reported(): ReportedTask[] {
    return [...this.tasks.values()].map((t) => ({
      job: t.job,
      index: t.index,
      attempt: t.attempt,
      state: t.state,
      ...(t.cause ? { cause: t.cause } : {}),
      saved: t.saved,
    }));
  }

  execute(command: Command): void {
    const key = `${taskName(command.job, command.index)}#${command.attempt}`;
    const task = this.tasks.get(key);
    if (command.op === 'start') {
      if (!task) this.start(command.job, command.index, command.attempt, key);
    } else if (command.op === 'forget') {
      if (task?.state === 'exited') this.tasks.delete(key);
    } else if (task && task.state !== 'exited') this.stop(task, command.graceS);
  }

  /** Ends and forgets all tasks; resolves when none of their processes is left. */
  async endAll(): Promise<void> {
    const all = [...this.tasks.values()];
    this.tasks.clear();
    for (const t of all) t.stopCause ??= 'stopped';
    await Promise.all(
      all.map(async (t) => {
        void t.gangMember?.leave();
        t.process?.kill();
        await t.process?.groupExited;
      }),
    );
  }

  get liveCount(): number {
    let count = 0;
    for (const task of this.tasks.values()) if (task.state !== 'exited') count++;
    return count;
  }

  /** Listing of the tasks and their process ids, for operators. */
  list(): { task: string; attempt: string; state: TaskState; pid: number | null; folder: string }[] {
    return [...this.tasks.values()].map((t) => ({
      task: taskName(t.job, t.index),
      attempt: t.attempt.toString(),
      state: t.state,
      pid: t.process?.pid ?? null,
      folder: this.deps.outputs.folderOf(fileName(t)),
    }));
  }

  /** To be checked again after each await: the task may have ended or been forgotten meanwhile. */
  private isLive(task: Task): boolean {
    return this.isCurrent(task) && task.state !== 'exited';
  }

  private isCurrent(task: Task): boolean {
    return this.tasks.get(task.key) === task;
  }

  private start(job: JobId, index: TaskIndex, attempt: Attempt, key: string): void {
    const isDuplicate = [...this.tasks.values()].some(
      (t) => t.job === job && t.index === index && t.state !== 'exited',
    );
    const task: Task = {
      job,
      index,
      attempt,
      key,
      state: 'fetching',
      cause: undefined,
      saved: false,
      description: undefined,
      image: undefined,
      process: undefined,
      gangMember: undefined,
      gpus: [],
      stopCause: undefined,
    };
    this.tasks.set(key, task);
    if (isDuplicate) return this.markExited(task, 'busy');
    void this.prepare(task);
  }

  private async prepare(task: Task): Promise<void> {
    const described = await this.deps.describe(task.job);
    if (!this.isCurrent(task) || task.state === 'exited') return;
    if (!described.ok || !described.value || task.index >= described.value.spec.tasks) {
      this.deps.log.info('task-unknown', {
        task: task.key,
        why: described.ok ? 'no such job or task' : described.error,
      });
      this.markExited(task, described.ok ? 'unknown' : 'error');
      return;
    }
    const { spec, command } = described.value;
    const used = this.usedCapacity();
    const { capacity: room } = this.deps;
    if (
      used.cpus + spec.cpus > room.cpus + CAPACITY_EPSILON ||
      used.gpus + spec.gpus > room.gpus + CAPACITY_EPSILON ||
      used.memoryGb + spec.memoryGb > room.memoryGb + CAPACITY_EPSILON
    ) {
      this.markExited(task, 'noRoom');
      return;
    }
    task.description = described.value;
    task.gpus = this.freeGpus.splice(0, Number.isInteger(spec.gpus) ? spec.gpus : 0);
    const image = await this.deps.images.get(spec.image, command.imagePath);
    if (!this.isLive(task)) {
      if (image.ok) this.deps.images.release(image.value);
      return;
    }
    if (!image.ok) {
      this.deps.log.info('image-not-fetched', { task: task.key, why: image.error });
      this.markExited(task, 'error');
      return;
    }
    task.image = image.value;
    if (spec.kind !== 'gang') {
      this.launch(task, []);
      return;
    }
    task.state = 'waiting';
    this.deps.onChange();
    task.gangMember = new GangMember(this.deps, {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      tasks: spec.tasks,
      address: this.deps.host,
      onGangStart: (peers) => {
        if (this.isCurrent(task) && task.state === 'waiting') this.launch(task, peers);
      },
      onGangIncomplete: () => this.endTask(task, 'alone'),
      onPeerLost: () => this.endTask(task, task.stopCause ?? 'peers'),
      // Another member has completed; this one's program gets a quarter of the gang-peer time to exit by itself.
      onGangDone: () =>
        void this.deps.clock.after(this.deps.gangPeerS * 250, () => this.endTask(task, 'done')),
    });
    void task.gangMember.run();
  }

  private usedCapacity(): Capacity {
    const used = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const task of this.tasks.values()) {
      const spec = task.description?.spec;
      if (!spec || task.state === 'exited') continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
      used.memoryGb += spec.memoryGb;
    }
    return used;
  }

  private launch(task: Task, peers: readonly string[]): void {
    const { deps } = this;
    const { spec, command } = task.description!;
    const savedFolder = join(deps.savedFolder, task.job, String(task.index));
    mkdirSync(savedFolder, { recursive: true });
    const started = deps.processes.start({
      name: fileName(task),
      argv: command.argv,
      folder: join(deps.workFolder, fileName(task)),
      niceness: deps.niceness,
      env: {
        PATH: deps.path,
        HOME: join(deps.workFolder, fileName(task)),
        ...command.env,
        GORSEYOKE_JOB: task.job,
        GORSEYOKE_INDEX: String(task.index),
        GORSEYOKE_TASKS: String(spec.tasks),
        GORSEYOKE_ATTEMPT: task.attempt.toString(),
        GORSEYOKE_SAVED: savedFolder,
        GORSEYOKE_CARDS: task.gpus.join(','),
        GORSEYOKE_PEERS: peers.join(','),
        ...(task.image === undefined ? {} : { GORSEYOKE_IMAGE: task.image }),
      },
    });
    if ('error' in started) {
      deps.log.error('task-not-started', { task: task.key, why: started.error });
      return this.markExited(task, 'error');
    }
    task.process = started;
    task.state = 'running';
    deps.outputs.capture(fileName(task), 'out', started.stdout);
    deps.outputs.capture(fileName(task), 'err', started.stderr);
    deps.log.info('task-started', { task: task.key, pid: started.pid });
    deps.onChange();
    void started.groupExited.then((code) => this.handleProcessExit(task, code));
  }

  private handleProcessExit(task: Task, code: number | null): void {
    if (!this.isCurrent(task) || task.state === 'exited') return;
    this.deps.log.info('task-ended', { task: task.key, code });
    const wasSaving = task.state === 'saving';
    if (wasSaving && code === SAVED_CODE) task.saved = true;
    if (code === 0 && task.description?.spec.kind !== 'service') {
      void task.gangMember?.announceDone();
      return this.markExited(task, 'done');
    }
    void task.gangMember?.leave();
    this.markExited(task, task.stopCause ?? (wasSaving ? 'stopped' : 'error'));
  }

  private stop(task: Task, graceS: number): void {
    const spec = task.description?.spec;
    if (task.state === 'saving' && graceS > 0) return;
    if (task.state === 'running' && task.process && spec && spec.checkpointS > 0 && graceS >= spec.saveS) {
      task.state = 'saving';
      task.process.requestSave();
      this.deps.onChange();
      // The program is killed when its grace period is over.
      this.deps.clock.after(graceS * 1000, () => task.process?.kill());
      return;
    }
    this.endTask(task, 'stopped');
  }

  /** Kills the program first, if there is one: a task occupies its machine until its whole process group is gone. */
  private endTask(task: Task, cause: Cause): void {
    if (!this.isCurrent(task) || task.state === 'exited') return;
    void task.gangMember?.leave();
    if (!task.process) return this.markExited(task, cause);
    task.stopCause = cause;
    task.process.kill();
    void task.process.groupExited.then(
      () => this.isCurrent(task) && task.state !== 'exited' && this.markExited(task, cause),
    );
  }

  private markExited(task: Task, cause: Cause): void {
    task.state = 'exited';
    task.cause = cause;
    this.freeGpus.push(...task.gpus.splice(0));
    this.deps.images.release(task.image);
    task.image = undefined;
    this.deps.onChange();
  }
}

const fileName = (task: Pick<Task, 'job' | 'index' | 'attempt'>): string =>
  `${task.job}-${task.index}-${task.attempt}`;
