import assert from 'node:assert/strict';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { Agent, ClaimPaths, encodeClaim, type Tasks } from '../src/agent/index.js';
import { encodeCommands, type Command } from '../src/protocol/heartbeats.js';
import type {
  AgentEpoch,
  Address,
  Attempt,
  JobId,
  TaskIndex,
  Term,
  TypeName,
  ZoneName,
} from '../src/protocol/ids.js';
import { Paths } from '../src/protocol/wire.js';
import { silentLog } from '../src/transport/log.js';
import { err } from '../src/transport/result.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

/**
 * Guards against a start that was carried out and answered, and is carried out once more by an agent that came back within a second: the
 * machine has lost its tasks by then, and they may run elsewhere.
 */
const LEASE_S = 10;
const TOKEN = 5n as Term;
/** The agent's first epoch begins with its process, the second with the claim of its machine. */
const CLAIMED_EPOCH = 2n as AgentEpoch;

const START: Command = {
  op: 'start',
  job: 'req-000001' as JobId,
  index: 0 as TaskIndex,
  attempt: 7n as Attempt,
};

/** One machine whose agent's process may end and come back; it keeps what the agent stored. */
class Machine {
  readonly time = new VirtualTime();
  readonly started: string[] = [];
  private readonly stateFile = join(mkdtempSync(join(tmpdir(), 'gorseyoke-agent-')), 'state.json');
  private agent = this.startAgent();

  private startAgent(): Agent {
    const tasks = {
      reported: () => [],
      execute: ({ op, job }: Command) => {
        if (op === 'start') this.started.push(job);
      },
      endAll: () => Promise.resolve(),
    };
    return Agent.start({
      clock: new ProcessClock(this.time, 1, 0),
      random: { next: () => 0.5 },
      log: silentLog,
      http: { call: () => Promise.resolve(err({ kind: 'unknown', why: 'deadline' })) },
      tasks: tasks as unknown as Tasks,
      controllers: [{ member: 'n0' as never, address: 'n0:80' }],
      address: 'm-1:9000' as Address,
      type: 'g4' as TypeName,
      zone: 'a' as ZoneName,
      heartbeatIntervalS: 1,
      leaseS: LEASE_S,
      onLeaseRenewed: () => undefined,
      stateFile: this.stateFile,
    });
  }

  async comeBack(): Promise<void> {
    await this.agent.stop();
    this.agent = this.startAgent();
  }

  private async post(path: string, body: Uint8Array): Promise<number> {
    const route = this.agent.routes.find((r) => r.path === path)!;
    return (await route.handle({}, body, {} as never)).status;
  }

  claim(): Promise<number> {
    return this.post(ClaimPaths.claim, encodeClaim('m-000001'));
  }

  command(token: Term, epoch: AgentEpoch, commands: readonly Command[] = [START]): Promise<number> {
    return this.post(Paths.commands, encodeCommands(token, commands, epoch));
  }
}

describe('a late copy of a start that was carried out', () => {
  async function machineThatStarted(): Promise<Machine> {
    const machine = new Machine();
    assert.equal(await machine.claim(), 200);
    assert.equal(await machine.command(TOKEN, CLAIMED_EPOCH), 200);
    assert.deepEqual(machine.started, [START.job]);
    return machine;
  }

  it('is refused by an agent that came back, which has a later epoch', async () => {
    const machine = await machineThatStarted();
    await machine.comeBack();
    assert.equal(await machine.command(TOKEN, CLAIMED_EPOCH), 409);
    await machine.comeBack();
    assert.equal(await machine.command(TOKEN, CLAIMED_EPOCH), 409);
    assert.deepEqual(machine.started, [START.job]);
  });

  it('is refused by an agent whose lease expired, which has a later epoch', async () => {
    const machine = await machineThatStarted();
    await machine.time.runUntil((LEASE_S + 1) * 1000, () => undefined);
    assert.equal(await machine.command(TOKEN, CLAIMED_EPOCH), 409);
    assert.deepEqual(machine.started, [START.job]);
  });

  it('is refused by an agent that has seen a higher token, also after it came back', async () => {
    const machine = await machineThatStarted();
    const nextEpoch = (CLAIMED_EPOCH + 1n) as AgentEpoch;
    assert.equal(await machine.command((TOKEN + 1n) as Term, CLAIMED_EPOCH, []), 200);
    assert.equal(await machine.command(TOKEN, CLAIMED_EPOCH), 409);
    await machine.comeBack();
    assert.equal(await machine.command(TOKEN, nextEpoch), 409);
    assert.deepEqual(machine.started, [START.job]);
  });
});
