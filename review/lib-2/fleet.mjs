// Stand-ins of the cloud and of the workers, as the protocol's page describes them.
import { call, encode, now, serve, sleep } from './base.mjs';

const EPSILON = 1e-9;

/** The tasks of one attempt of a gang: they start together, complete together, and exit if one is gone. */
class Gang {
  members = new Map();
  constructor(tasks) {
    this.tasks = tasks;
  }
  join(worker, task, { runS, broken }) {
    task.gang = this;
    task.standing = 'gathering';
    this.members.set(task.index, { worker, task });
    task.timer = setTimeout(() => worker.exit(task, 'incomplete'), worker.settings.gang_wait_s * 1000);
    if (this.members.size < this.tasks) return;
    this.started = true;
    for (const member of this.members.values()) {
      clearTimeout(member.task.timer);
      member.task.standing = 'running';
      member.worker.changed = true;
    }
    setTimeout(() => {
      if (this.over) return;
      this.over = true;
      for (const member of this.members.values()) member.worker.exit(member.task, broken ? 'error' : 'done');
    }, runS * 1000);
  }
  left(task, cause) {
    if (this.members.get(task.index)?.task !== task || this.over) return;
    this.members.delete(task.index);
    if (!this.started) return;
    this.over = true;
    for (const { worker, task: other } of this.members.values())
      setTimeout(() => worker.exit(other, 'peers'), (cause === 'halted' ? 1 : 0.3) * 1000);
  }
}

/** What runs where, and what users sent: the truth that the checks go by. */
export class World {
  /** Job descriptions by id: `{ spec, runS, broken }`. */
  jobs = new Map();
  /** Where each task is: on its machine with its image, by `job/index`. */
  on = new Map();
  completed = new Map();
  starts = [];
  violations = [];
  /** Whether the record leaves out the tasks of all jobs but those in `shown`: there are thousands. */
  quiet = false;
  shown = new Set();
  constructor(recorder) {
    this.recorder = recorder;
  }
  gangs = new Map();
  gangOf({ job, pull }, tasks) {
    const key = `${job}#${pull}`;
    if (!this.gangs.has(key)) this.gangs.set(key, new Gang(tasks));
    return this.gangs.get(key);
  }
  begin(worker, task) {
    this.onBegin?.(worker, task);
    const name = task.name;
    const other = this.on.get(name);
    if (other && other !== worker)
      this.violate('ran_twice', `${name} starts on ${worker.id} while it is on ${other.id}`);
    this.on.set(name, worker);
    this.starts.push({ at: now(), name, machine: worker.id });
    if (!this.quiet || this.shown.has(task.job))
      this.recorder.note(`task ${name} on ${worker.id} attempt ${task.pull}`);
  }
  end(worker, task, cause) {
    if (this.on.get(task.name) === worker) this.on.delete(task.name);
    if (cause === 'done') this.completed.set(task.name, now());
    if (!this.quiet || this.shown.has(task.job))
      this.recorder.note(`task ${task.name} off ${worker.id}: ${cause}`);
  }
  violate(rule, what) {
    this.violations.push({ rule, what });
    this.recorder.note(`RULE ${rule}: ${what}`);
  }
}

export class Worker {
  yoking = 1;
  tally = 0;
  goad = 0n;
  tasks = new Map();
  images = new Set();
  alive = true;
  target = 0;
  changed = true;
  lastSentAt = -1e9;
  inFlight = false;
  reports = { sent: 0, answered: 0, largest: 0, statuses: new Map() };
  leasesOver = 0;

  constructor(world, settings, { id, breed, paddock, stray = false, type }) {
    Object.assign(this, { world, settings, id, breed, paddock, stray, type });
    this.target = Math.floor(Math.random() * settings.nodes.length);
  }

  async start() {
    const { address, server } = await serve((...request) => this.handle(...request));
    this.address = address;
    this.server = server;
    this.leaseAt = now();
    void this.loop();
  }

  /** The cloud takes the machine away. */
  remove() {
    this.alive = false;
    this.server.closeAllConnections();
    this.server.close();
    for (const task of this.tasks.values()) this.leave(task, 'machine gone');
    this.tasks.clear();
  }

  body() {
    this.tally++;
    return {
      ox: this.id,
      address: this.address,
      breed: this.breed,
      paddock: this.paddock,
      stray: this.stray,
      yoking: this.yoking,
      tally: this.tally,
      goad: this.goad,
      recall_s: null,
      furrows: [...this.tasks.values()].map((task) => ({
        furrow: task.name,
        pull: task.pull,
        standing: task.standing,
        ...(task.cause ? { cause: task.cause } : {}),
      })),
    };
  }

  async loop() {
    const { report_s, lease_s } = this.settings;
    let nextAt = now() + Math.random() * 0.5;
    while (this.alive) {
      if (now() - this.leaseAt > lease_s) this.leaseOver();
      const early = this.changed && now() - this.lastSentAt > 0.5;
      if (!this.inFlight && !this.muteReports && (now() >= nextAt || early)) {
        this.changed = false;
        this.lastSentAt = now();
        nextAt = now() + report_s * (0.75 + 0.5 * Math.random());
        this.inFlight = true;
        void this.report().then((wait) => {
          this.inFlight = false;
          if (wait !== undefined) nextAt = now() + wait;
        });
      }
      await sleep(25);
    }
  }

  leaseOver() {
    this.leasesOver++;
    this.world.recorder.note(`worker ${this.id}: lease over, ${this.tasks.size} tasks killed and forgotten`);
    for (const task of this.tasks.values()) this.leave(task, 'lease over');
    this.tasks.clear();
    this.yoking++;
    this.tally = 0;
    this.leaseAt = now();
    this.changed = true;
  }

  /** Sends one report. Returns in how many seconds the next one is due, where that isn't its usual time. */
  async report() {
    const { nodes } = this.settings;
    const sentAt = now();
    const session = this.yoking;
    const body = this.body();
    this.reports.sent++;
    this.reports.largest = Math.max(this.reports.largest, body.furrows.length);
    let reply;
    try {
      const { address } = nodes[this.target % nodes.length];
      if (address === this.avoid) throw new Error('cut');
      reply = await call(address, 'POST', '/v1/report', body, 4000);
    } catch {
      reply = { status: 0 };
    }
    if (!this.alive) return undefined;
    this.reports.statuses.set(reply.status, (this.reports.statuses.get(reply.status) ?? 0) + 1);
    if (reply.status !== this.lastStatus) {
      this.lastStatus = reply.status;
      if (!this.world.quiet || ![200, 421].includes(reply.status))
        this.world.recorder.note(
          `worker ${this.id}: report with ${body.furrows.length} tasks, ${encode(body).length} bytes, answered ${reply.status}`,
        );
    }
    if (reply.status === 200) {
      this.reports.answered++;
      if (session !== this.yoking) return undefined;
      const goad = reply.body?.goad === undefined ? undefined : BigInt(reply.body.goad);
      if (goad === undefined || goad < this.goad) return undefined;
      if (goad > this.goad) {
        this.goad = goad;
        this.changed = true;
      }
      this.leaseAt = Math.max(this.leaseAt, sentAt);
      this.execute(reply.body.calls ?? []);
      return undefined;
    }
    if (reply.status === 421 && reply.body?.drover) {
      const at = nodes.findIndex((node) => node.member === reply.body.drover);
      if (at >= 0 && at !== this.target % nodes.length) {
        this.target = at;
        return Math.random() * 0.5;
      }
    }
    this.target++;
    return 1;
  }

  async handle(method, path, _query, body) {
    if (!this.alive || this.hanging) return undefined;
    if (path === '/inspect') return { status: 200, body: this.body() };
    if (path !== '/orders') return { status: 404 };
    if (body?.goad === undefined || body?.yoking === undefined) return { status: 400 };
    if (BigInt(body.goad) < this.goad || Number(body.yoking) !== this.yoking)
      return { status: 409, body: this.body() };
    if (BigInt(body.goad) > this.goad) {
      this.goad = BigInt(body.goad);
      this.changed = true;
    }
    this.execute(body.calls ?? []);
    return { status: 200, body: this.body() };
  }

  execute(calls) {
    for (const { call: what, furrow, pull, unyoke_s } of calls) {
      const key = `${furrow}#${pull}`;
      const task = this.tasks.get(key);
      this.changed = true;
      if (what === 'run' && !task) this.run(furrow, pull, key);
      else if (what === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
      else if (what === 'kill' && task && task.standing !== 'exited') this.kill(task, unyoke_s ?? 0);
    }
  }

  run(name, pull, key) {
    const [job, index] = name.split('/');
    const task = { name, job, index: Number(index), pull, key, standing: 'pulling' };
    const others = [...this.tasks.values()].filter((other) => other.standing !== 'exited');
    this.tasks.set(key, task);
    const described = this.world.jobs.get(job);
    if (!described) return this.exit(task, 'unknown');
    if (others.some((other) => other.name === name)) return this.exit(task, 'busy');
    const { spec } = described;
    for (const field of ['vcpus', 'cards', 'mem_gb']) {
      const used = others.reduce((sum, other) => sum + (this.world.jobs.get(other.job)?.spec[field] ?? 0), 0);
      if (used + spec[field] > this.type[field] + EPSILON) return this.exit(task, 'full');
    }
    const fetchMs = this.images.has(spec.seedbag) ? 0 : (spec.size_gb / this.type.fetch_gb_per_s) * 1000;
    task.timer = setTimeout(() => {
      if (!this.alive || this.tasks.get(key) !== task || task.standing === 'exited') return;
      this.images.add(spec.seedbag);
      task.isOn = true;
      task.standing = 'running';
      this.changed = true;
      this.world.begin(this, task);
      if (spec.gait === 'ensemble') this.world.gangOf(task, spec.furrows).join(this, task, described);
      else if (spec.gait !== 'daemon') {
        const runS = this.world.completed.has(name)
          ? 0
          : Math.max(described.runS, (described.endsAt ?? 0) - now());
        task.timer = setTimeout(() => this.exit(task, described.broken ? 'error' : 'done'), runS * 1000);
      }
    }, fetchMs);
    return undefined;
  }

  kill(task) {
    this.exit(task, 'halted');
  }

  leave(task, cause) {
    clearTimeout(task.timer);
    task.gang?.left(task, cause);
    if (task.isOn) this.world.end(this, task, cause);
    task.isOn = false;
  }

  exit(task, cause) {
    if (this.tasks.get(task.key) !== task || task.standing === 'exited') return;
    this.leave(task, cause);
    task.standing = 'exited';
    task.cause = cause;
    this.changed = true;
  }
}

export class Cloud {
  machines = new Map();
  hires = new Map();
  next = 1;
  out = false;
  constructor(world, settings, types) {
    Object.assign(this, { world, settings, types });
  }

  async listen() {
    const { address } = await serve((...request) => this.handle(...request));
    return address;
  }

  /** Brings up a machine at once: it stands before the service begins. */
  async stand(breed, paddock, stray = false) {
    const machine = this.enter(breed, paddock, stray);
    machine.rentedAt = now() - 600;
    await this.boot(machine);
    return machine.worker;
  }

  enter(breed, paddock, stray) {
    const id = `m-${String(this.next++).padStart(6, '0')}`;
    const type = this.types.find(({ label }) => label === breed);
    const worker = new Worker(this.world, this.settings, { id, breed, paddock, stray, type });
    const machine = {
      id,
      breed,
      paddock,
      stray,
      worker,
      rentedAt: now(),
      standing: 'starting',
      seenAt: now(),
    };
    this.machines.set(id, machine);
    return machine;
  }

  async boot(machine) {
    if (!this.machines.has(machine.id)) return;
    await machine.worker.start();
    machine.standing = 'running';
  }

  async handle(method, path, query, body) {
    await sleep(20);
    if (this.out) return { status: 503, body: { error: 'trouble' } };
    if (path === '/catalog') return { status: 200, body: { breeds: this.types } };
    if (path === '/rentals/return') {
      for (const id of body.oxen) {
        const machine = this.machines.get(id);
        if (!machine) continue;
        this.machines.delete(id);
        if (machine.standing === 'running') machine.worker.remove();
        this.world.recorder.note(`cloud: ${id} returned`);
      }
      return { status: 200, body: {} };
    }
    if (path !== '/rentals') return { status: 404 };
    if (method === 'GET') {
      const since = query.get('since') ?? '';
      const listed = [...this.machines.values()]
        .filter(({ id, rentedAt }) => id > since && now() - rentedAt > this.settings.list_lag_s * 0.5)
        .sort((a, b) => (a.id < b.id ? -1 : 1))
        .slice(0, 500)
        .map(({ id, breed, paddock, stray, standing, rentedAt, worker }) => ({
          id,
          address: worker.address ?? '127.0.0.1:9',
          breed,
          paddock,
          stray,
          standing,
          held_s: now() - rentedAt,
        }));
      return { status: 200, body: { oxen: listed, truncated: false } };
    }
    const known = this.hires.get(body.hire);
    if (known) return { status: 200, body: { oxen: known } };
    const type = this.types.find(({ label }) => label === body.breed);
    const room = (this.settings.capacity ?? 0) - this.machines.size;
    if (!type || room <= 0) return { status: 503, body: { error: 'no capacity' } };
    const machines = Array.from({ length: Math.min(room, body.how_many) }, () =>
      this.enter(body.breed, body.paddock, body.stray),
    );
    for (const machine of machines)
      setTimeout(() => void this.boot(machine), type.ready_s * (this.settings.boot ?? 1) * 1000);
    const oxen = machines.map(({ id }) => id);
    this.hires.set(body.hire, oxen);
    this.world.recorder.note(`cloud: ${oxen.join(' ')} rented as ${body.breed} in ${body.paddock}`);
    return { status: 200, body: { oxen } };
  }
}
