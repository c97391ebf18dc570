import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { constants, setPriority, uptime } from 'node:os';
import { join } from 'node:path';
import type { Readable, Writable } from 'node:stream';
import * as z from 'zod';
import type { Log } from '../transport/log.js';
import { readDurableFile, writeFileDurably } from '../transport/durable-file.js';
import { messageOf } from '../transport/error-message.js';

/**
 * Shell script of the leader of a task's process group. It runs the program only after the agent has written `go` to the pipe,
 * which the agent does after it has recorded the group, so that no unrecorded program runs. It kills the whole group when the pipe
 * to the agent closes, so that no task outlives its agent. A stopped or hanging agent doesn't close the pipe, and its tasks would
 * run beside their replacements on other machines. The script therefore also kills the group when the lease that the agent last
 * wrote to the lease file has expired by the machine's steady clock.
 */
const GROUP_LEADER_SCRIPT = `
ulimit -c 0
read -r go <&3 || exit 125
[ "$go" = go ] || exit 125
( read -r never <&3; kill -KILL 0 ) &
( while sleep 2; do
    read -r up rest < /proc/uptime || exit 0
    read -r until < "$0" || continue
    [ "\${up%.*}" -gt "$until" ] && kill -KILL 0
  done ) 3<&- &
"$@" 3<&- &
child=$!
trap 'kill -TERM $child 2>/dev/null' TERM
wait $child
code=$?
while kill -0 $child 2>/dev/null; do wait $child; code=$?; done
exit $code
`;

const recordSchema = z.object({ pid: z.number().int().positive(), started: z.string(), boot: z.string() });
type ProcessRecord = z.infer<typeof recordSchema>;

const readProcFile = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

/** Identifies the boot of the machine: process ids are reused after a reboot. */
const bootId = (): string => readProcFile('/proc/sys/kernel/random/boot_id')?.trim() ?? 'unknown';

/** Start time of the process in clock ticks since boot; undefined if it doesn't exist or has ended. */
function startTicksOf(pid: number): string | undefined {
  const stat = readProcFile(`/proc/${pid}/stat`);
  // The process name in the second field may contain any characters, including blanks and brackets.
  const fields = stat?.slice(stat.lastIndexOf(')') + 2).split(' ');
  return fields?.[0] === 'Z' ? undefined : fields?.[19];
}

/**
 * Identity of the process that has this process id now, unique over time; undefined if it doesn't exist or has ended. On a system
 * without /proc, the identity is the process id alone.
 */
export function identityOf(pid: number): string | undefined {
  if (!existsSync('/proc/self/stat')) return canSignal(pid) ? String(pid) : undefined;
  const startTicks = startTicksOf(pid);
  return startTicks === undefined ? undefined : `${bootId()}/${startTicks}`;
}

/**
 * Whether any process of the group still runs. Zombies don't count: where their parent is the first process of a container, they
 * may never be reaped.
 */
function isGroupRunning(pid: number): boolean {
  if (!canSignal(-pid)) return false;
  if (!existsSync('/proc/self/stat')) return true;
  for (const entry of readdirSync('/proc')) {
    if (!/^[0-9]+$/.test(entry)) continue;
    const stat = readProcFile(`/proc/${entry}/stat`);
    const fields = stat?.slice(stat.lastIndexOf(')') + 2).split(' ');
    if (fields && Number(fields[2]) === pid && fields[0] !== 'Z' && fields[0] !== 'X') return true;
  }
  return false;
}

function canSignal(target: number): boolean {
  try {
    process.kill(target, 0);
    return true;
  } catch (e) {
    return (e as NodeJS.ErrnoException).code === 'EPERM';
  }
}

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Kills the process group; resolves when none of its processes is left. */
async function killGroup(pid: number): Promise<void> {
  for (let i = 0; isGroupRunning(pid); i++) {
    try {
      process.kill(-pid, 'SIGKILL');
    } catch {
      return;
    }
    // A process in uninterruptible disk wait ends only after the disk has answered.
    await delay(Math.min(500, 5 * 2 ** Math.min(i, 7)));
  }
}

export interface ProcessSpec {
  readonly name: string;
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  readonly folder: string;
  /** Niceness of the processes, 0 to 19; higher values yield more to other processes. */
  readonly niceness: number;
}

export interface RunningProcess {
  readonly pid: number;
  readonly stdout: Readable;
  readonly stderr: Readable;
  /** Exit code of the program, or null if a signal ended it. Resolves when the whole group is gone. */
  readonly groupExited: Promise<number | null>;
  /** Asks the program to save its progress and exit. */
  requestSave(): void;
  kill(): void;
}

/** The process groups of one agent. Each is recorded in a file before its program runs. */
export class Processes {
  constructor(
    private readonly folder: string,
    private readonly log: Log,
  ) {
    mkdirSync(folder, { recursive: true });
  }

  private get leaseFile(): string {
    return join(this.folder, 'lease');
  }

  /** Lets all groups run for `ms` from now; each group's leader kills its group after that, also if this process hangs. */
  writeLease(ms: number): void {
    const part = `${this.leaseFile}.part`;
    writeFileSync(part, `${Math.ceil(uptime() + ms / 1000)}\n`);
    renameSync(part, this.leaseFile);
  }

  /** Kills the groups that an earlier agent process left running. Resolves with their number when all are gone. */
  async endOrphans(): Promise<number> {
    let killedCount = 0;
    for (const name of readdirSync(this.folder)) {
      if (!name.endsWith('.json')) continue;
      const path = join(this.folder, name);
      const record = readDurableFile(path, recordSchema);
      if (!record.ok || !record.value) {
        this.log.error('process-record-unreadable', {
          record: name,
          why: record.ok ? 'empty' : record.error,
        });
      } else if (this.isRecordedGroup(record.value)) {
        killedCount++;
        this.log.info('orphan-ended', { task: name.slice(0, -5), pid: record.value.pid });
        await killGroup(record.value.pid);
      }
      rmSync(path, { force: true });
    }
    return killedCount;
  }

  private isRecordedGroup(record: ProcessRecord): boolean {
    if (record.boot !== bootId()) return false;
    const startTicks = startTicksOf(record.pid);
    // Without the leader, other processes of the group may still run; its process id isn't reused while the group exists.
    return startTicks === undefined ? isGroupRunning(record.pid) : startTicks === record.started;
  }

  start(spec: ProcessSpec): RunningProcess | { readonly error: string } {
    let child: ChildProcess;
    try {
      mkdirSync(spec.folder, { recursive: true });
      child = spawn('/bin/sh', ['-c', GROUP_LEADER_SCRIPT, this.leaseFile, ...spec.argv], {
        cwd: spec.folder,
        env: { ...spec.env },
        detached: true,
        stdio: ['ignore', 'pipe', 'pipe', 'pipe'],
      });
    } catch (e) {
      return { error: messageOf(e) };
    }
    const { pid } = child;
    // A failed spawn also emits an error event; the failure is reported by the missing process id.
    child.on('error', () => undefined);
    if (pid === undefined) return { error: 'the task process could not be started' };
    const record = join(this.folder, `${spec.name}.json`);
    writeFileDurably(
      record,
      JSON.stringify({ pid, started: startTicksOf(pid) ?? '', boot: bootId() } satisfies ProcessRecord),
    );
    if (spec.niceness > 0) {
      try {
        setPriority(pid, Math.min(spec.niceness, constants.priority.PRIORITY_LOW));
      } catch (e) {
        this.log.error('niceness-not-set', { task: spec.name, why: messageOf(e) });
      }
    }
    const pipe = child.stdio[3] as Writable;
    pipe.on('error', () => undefined);
    pipe.write('go\n');
    const groupExited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        // Background processes of the program are killed too: the task's capacity is free only when the whole group is gone.
        void killGroup(pid).then(() => {
          pipe.destroy();
          rmSync(record, { force: true });
          resolve(code);
        });
      });
    });
    return {
      pid,
      stdout: child.stdout!,
      stderr: child.stderr!,
      groupExited,
      requestSave: () => {
        if (canSignal(pid)) process.kill(pid, 'SIGTERM');
      },
      kill: () => {
        try {
          process.kill(-pid, 'SIGKILL');
        } catch {
          // The group has ended already.
        }
      },
    };
  }

  get recordCount(): number {
    return existsSync(this.folder) ? readdirSync(this.folder).filter((f) => f.endsWith('.json')).length : 0;
  }
}
