import * as z from 'zod';
import { MAX_CLOCK_DRIFT, sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { HttpClient, Reply, RequestHead, Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import { ClaimPaths, encodeClaim, encodeRecall } from '../agent/index.js';
import { readDurableFile, writeFileDurably } from '../transport/durable-file.js';
import { decodeAs, encode } from '../protocol/codec.js';
import {
  encodeCatalog,
  encodeMachineList,
  encodeMachineNames,
  scaleOutRequestSchema,
  machineNamesSchema,
  type ListedMachine,
  type MachineType,
} from '../protocol/cloud.js';
import type { Address, MachineId } from '../protocol/ids.js';
import { F, Paths } from '../protocol/wire.js';

/** A machine of the operator's configuration. */
export interface OperatorMachine {
  readonly name: string;
  readonly address: Address;
  readonly type: MachineType;
  readonly zone: string;
}

export interface ProviderDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly machines: readonly OperatorMachine[];
  /** Machine lease: an agent that no controller has answered for this long ends its tasks, also if it can't be reached. */
  readonly leaseS: number;
  /** Path of the file that holds the provider's persisted state. */
  readonly stateFile: string;
}

const claimRecordSchema = z.object({
  id: z.string(),
  name: z.string(),
  rentedAt: z.number(),
  /** Recalled by the operator or returned by the controllers; the machine can't be claimed again until the claim is released. */
  returning: z.boolean(),
});
type Claim = z.infer<typeof claimRecordSchema>;

const providerStateSchema = z.object({
  next: z.number().int(),
  claims: z.array(claimRecordSchema),
  /** Answers to scale-out requests, by request, so that a repeated request provisions no more machines. */
  hires: z.array(z.tuple([z.string(), z.array(z.string())])),
  /** Machines that the operator drains, and the wall-clock time at which each drain is due. */
  drained: z.array(z.tuple([z.string(), z.number()])),
});
interface ProviderState {
  next: number;
  claims: Claim[];
  hires: [string, string[]][];
  drained: [string, number][];
}

const MAX_STORED_SCALE_OUTS = 5000;
const AGENT_CALL_TIMEOUT_MS = 5000;
/** Longest time for which the answer to a return waits for the release; the controllers repeat the request. */
const RETURN_TIMEOUT_MS = 4000;

const refuse = (status: number, reason: string): Reply => ({ status, body: encode({ [F.error]: reason }) });

/**
 * Provisions machines of the operator's list. Provisioning is a claim: a machine gets a new name and its agent sends heartbeats
 * under it. Returning a machine ends all its tasks. A return is answered with 200 once the agent has confirmed that, or once an
 * unreachable agent must have ended them: it does so by itself when no controller has answered it for the length of the machine
 * lease, and after a return the controllers no longer know it.
 */
export class Provider {
  readonly routes: readonly Route[];
  private readonly state: ProviderState;
  private readonly unreachableSince = new Map<string, SteadyMs>();
  private running = true;

  constructor(private readonly deps: ProviderDeps) {
    const stored = readDurableFile(deps.stateFile, providerStateSchema);
    if (!stored.ok) throw new Error(stored.error);
    this.state = (stored.value as ProviderState | undefined) ?? {
      next: 0,
      claims: [],
      hires: [],
      drained: [],
    };
    this.routes = [
      { method: 'GET', path: Paths.types, handle: () => this.catalog() },
      { method: 'GET', path: Paths.machines, handle: (_params, _body, head) => this.listMachines(head) },
      { method: 'POST', path: Paths.machines, handle: (_, body) => this.scaleOut(body) },
      { method: 'POST', path: Paths.machinesReturn, handle: (_, body) => this.returnMachines(body) },
      { method: 'GET', path: '/own', handle: () => this.listOwnMachines() },
      {
        method: 'POST',
        path: '/own/:name/drain',
        handle: (params, body) => this.drain(params['name'] ?? '', body),
      },
      { method: 'POST', path: '/own/:name/undrain', handle: (params) => this.undrain(params['name'] ?? '') },
    ];
    void this.run();
  }

  stop(): void {
    this.running = false;
  }

  private persistState(): void {
    this.state.hires = this.state.hires.slice(-MAX_STORED_SCALE_OUTS);
    writeFileDurably(this.deps.stateFile, JSON.stringify(this.state));
  }

  private machine(name: string): OperatorMachine | undefined {
    return this.deps.machines.find((m) => m.name === name);
  }

  /** Wall-clock time at which the drain of the machine is due; undefined if it is not drained. */
  private drainedAt(name: string): number | undefined {
    return this.state.drained.find(([n]) => n === name)?.[1];
  }

  private catalog(): Reply {
    const types = new Map(this.deps.machines.map((m) => [m.type.name, m.type]));
    return { status: 200, body: encodeCatalog([...types.values()]) };
  }

  private listMachines(head: RequestHead): Reply {
    const query = new URLSearchParams((head.url ?? '').split('?')[1] ?? '');
    const after = query.get(F.after) ?? '';
    const limit = Math.min(500, Math.max(1, Number(query.get(F.limit) ?? 500) || 500));
    const found = this.state.claims
      .filter((c) => c.id > after && this.machine(c.name))
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    const now = this.deps.clock.wall();
    const listed = found.slice(0, limit).map((claim): ListedMachine => {
      const machine = this.machine(claim.name)!;
      return {
        id: claim.id as MachineId,
        address: machine.address,
        type: machine.type.name,
        zone: machine.zone as ListedMachine['zone'],
        spot: false,
        state: 'running',
        ageS: Math.max(0, (now - claim.rentedAt) / 1000),
      };
    });
    return { status: 200, body: encodeMachineList(listed, found.length > limit) };
  }

  /** The claims are persisted before they are answered or sent to agents, so that no claim that was answered is lost. */
  private scaleOut(body: Uint8Array): Reply {
    const decoded = decodeAs(scaleOutRequestSchema, body);
    if (!decoded.ok || decoded.value.count < 1 || decoded.value.count > 50) return refuse(400, 'malformed');
    const { request, type, zone, spot, count } = decoded.value;
    const earlier = this.state.hires.find(([name]) => name === request);
    if (earlier) return { status: 200, body: encodeMachineNames(earlier[1] as MachineId[]) };
    const claimedNames = new Set(this.state.claims.map((c) => c.name));
    const free = spot
      ? []
      : this.deps.machines.filter(
          (m) =>
            m.type.name === type &&
            m.zone === zone &&
            !claimedNames.has(m.name) &&
            this.drainedAt(m.name) === undefined,
        );
    if (free.length === 0) return refuse(503, 'no capacity');
    const claims = free.slice(0, count).map((m): Claim => ({
      id: `m-${String(++this.state.next).padStart(6, '0')}`,
      name: m.name,
      rentedAt: this.deps.clock.wall(),
      returning: false,
    }));
    this.state.claims.push(...claims);
    const ids = claims.map((c) => c.id);
    this.state.hires.push([request, ids]);
    this.persistState();
    for (const claim of claims) {
      this.deps.log.info('claim', { machine: claim.id, name: claim.name });
      void this.sendClaim(claim);
    }
    return { status: 200, body: encodeMachineNames(ids as MachineId[]) };
  }

  private async callAgent(claim: Claim, path: string, body: Uint8Array): Promise<boolean> {
    const machine = this.machine(claim.name);
    if (!machine) return false;
    const reply = await this.deps.http.call(machine.address, 'POST', path, body, AGENT_CALL_TIMEOUT_MS);
    return reply.ok && reply.value.status === 200;
  }

  private sendClaim(claim: Claim): Promise<boolean> {
    return this.callAgent(claim, ClaimPaths.claim, encodeClaim(claim.id));
  }

  private async returnMachines(body: Uint8Array): Promise<Reply> {
    const names = decodeAs(machineNamesSchema, body);
    if (!names.ok || names.value.length > 100) return refuse(400, 'malformed');
    const claims = this.state.claims.filter((c) => names.value.includes(c.id as MachineId));
    for (const claim of claims) claim.returning = true;
    if (claims.length > 0) this.persistState();
    const deadline = this.deps.clock.now() + RETURN_TIMEOUT_MS;
    for (;;) {
      await Promise.all(claims.filter((c) => this.state.claims.includes(c)).map((c) => this.releaseClaim(c)));
      if (claims.every((c) => !this.state.claims.includes(c))) return { status: 200, body: encode({}) };
      if (this.deps.clock.now() > deadline) return refuse(503, 'trouble');
      await sleep(this.deps.clock, 300);
    }
  }

  private async releaseClaim(claim: Claim): Promise<void> {
    const { clock, leaseS } = this.deps;
    const released =
      this.machine(claim.name) === undefined ||
      (await this.callAgent(claim, ClaimPaths.release, encodeClaim(claim.id)));
    if (!released) {
      const since = this.unreachableSince.get(claim.id) ?? clock.now();
      this.unreachableSince.set(claim.id, since);
      // A controller may have answered the agent as late as the return itself, so the lease is counted from the failed release.
      if (clock.now() - since <= (leaseS * (1 + 2 * MAX_CLOCK_DRIFT) + 5) * 1000) return;
      this.deps.log.info('let-go-by-lease', { machine: claim.id, name: claim.name });
    }
    this.unreachableSince.delete(claim.id);
    this.state.claims = this.state.claims.filter((c) => c !== claim);
    this.persistState();
    this.deps.log.info('released', { machine: claim.id, name: claim.name, told: released });
  }

  /** Repeats claims, recalls and releases periodically, for agents that have not received them. */
  private async run(): Promise<void> {
    while (this.running) {
      await sleep(this.deps.clock, 2000);
      for (const claim of [...this.state.claims]) {
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the provider may stop during the calls
        if (!this.running) return;
        await this.reconcileClaim(claim);
      }
    }
  }

  /**
   * Sends the agent the desired state of a claim; repeated until the claim has it. An agent or a provider that was restarted
   * doesn't know of a drain in progress: without the repetition, a power failure of the site during a drain left its machine
   * claimed for ever.
   */
  private async reconcileClaim(claim: Claim): Promise<boolean> {
    if (claim.returning) {
      await this.releaseClaim(claim);
      return true;
    }
    const drainedAt = this.drainedAt(claim.name);
    if (drainedAt === undefined) return this.sendClaim(claim);
    const leftMs = drainedAt - this.deps.clock.wall();
    if (leftMs > 0) return this.callAgent(claim, ClaimPaths.recall, encodeRecall(claim.id, leftMs / 1000));
    claim.returning = true;
    this.persistState();
    await this.releaseClaim(claim);
    return true;
  }

  // ---- the operator's requests ------------------------------------------------------------------------------

  private listOwnMachines(): Reply {
    const claims = new Map(this.state.claims.map((c) => [c.name, c]));
    return {
      status: 200,
      body: encode({
        machines: this.deps.machines.map((m) => ({
          name: m.name,
          address: m.address,
          type: m.type.name,
          zone: m.zone,
          machine: claims.get(m.name)?.id ?? null,
          drained: this.drainedAt(m.name) !== undefined,
        })),
      }),
    };
  }

  private async drain(name: string, body: Uint8Array): Promise<Reply> {
    if (!this.machine(name)) return refuse(404, `no machine is called '${name}'`);
    const request =
      body.length > 0 ? decodeAs(z.object({ within_s: z.number().min(0).max(86_400) }), body) : undefined;
    if (request && !request.ok) return refuse(400, request.error);
    const withinS = request?.value.within_s ?? 120;
    this.state.drained = [
      ...this.state.drained.filter(([n]) => n !== name),
      [name, this.deps.clock.wall() + withinS * 1000],
    ];
    this.persistState();
    const claim = this.state.claims.find((c) => c.name === name);
    if (claim && !(await this.reconcileClaim(claim)))
      return refuse(503, `'${name}' can't be told just now; it is told as soon as it can`);
    this.deps.log.info('drain', { name, withinS });
    return { status: 200, body: encode({}) };
  }

  private undrain(name: string): Reply {
    if (!this.machine(name)) return refuse(404, `no machine is called '${name}'`);
    this.state.drained = this.state.drained.filter(([n]) => n !== name);
    this.persistState();
    this.deps.log.info('undrain', { name });
    return { status: 200, body: encode({}) };
  }
}
