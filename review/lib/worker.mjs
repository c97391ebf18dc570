import { Client, serve } from './http.mjs';
import { sleep } from './record.mjs';

/**
 * A worker of the protocol page: reports, leases, tokens, commands, and tasks of arrays and services. `jobs` holds the descriptions
 * that users uploaded: `{ spec, runS, failsOn }`. `world` notes what is on which machine, for the check.
 */
export class Worker {
  constructor({ machine, breed, nodes, limits, jobs, world, record }) {
    Object.assign(this, { machine, breed, nodes, limits, jobs, world, record });
    this.client = new Client();
    this.node = Math.floor(Math.random() * nodes.length);
    this.session = 1;
    this.tally = 0;
    this.goad = 0;
    this.recallS = null;
    this.tasks = new Map();
    this.images = new Map();
    this.lastAnsweredAt = performance.now();
    this.dead = false;
    this.wake = () => undefined;
  }

  get id() {
    return this.machine.id;
  }

  async start() {
    this.server = await serve((method, path, _, data) => this.handle(method, path, data));
    this.machine.address = this.server.address;
    this.machine.standing = 'running';
    this.lastAnsweredAt = performance.now();
    void this.reportLoop();
  }

  close() {
    if (this.dead) return;
    this.dead = true;
    for (const task of this.tasks.values()) this.leave(task);
    this.server.close();
    this.client.close();
    this.wake();
  }

  report() {
    return {
      ox: this.id,
      address: this.machine.address,
      breed: this.machine.breed,
      paddock: this.machine.paddock,
      stray: this.machine.stray,
      yoking: this.session,
      tally: ++this.tally,
      goad: this.goad,
      recall_s: this.recallS,
      furrows: [...this.tasks.values()].map((task) => ({
        furrow: task.name,
        pull: task.pull,
        standing: task.standing,
        ...(task.cause ? { cause: task.cause } : {}),
        ...(task.kept ? { kept: true } : {}),
      })),
    };
  }

  /** A change of the tasks, the notice, the session or the token: reported soon. */
  changed() {
    this.isChanged = true;
    this.wake();
  }

  expireLease() {
    if (performance.now() - this.lastAnsweredAt <= this.limits.leaseS * 1000) return;
    this.record.write(this.id, `lease ended, session ${this.session + 1}`);
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks.clear();
    this.session++;
    this.lastAnsweredAt = performance.now();
  }

  async reportLoop() {
    let lastSentAt = -Infinity;
    let dueAt = performance.now() + Math.random() * this.limits.reportS * 1000;
    let pauseMs = 0;
    while (!this.dead) {
      this.expireLease();
      const now = performance.now();
      const at = this.isChanged ? Math.min(dueAt, Math.max(now, lastSentAt + 500)) : dueAt;
      const waitMs = Math.max(pauseMs, at - now);
      pauseMs = 0;
      if (waitMs > 0) {
        await Promise.race([sleep(waitMs), new Promise((resolve) => (this.wake = resolve))]);
        const again = performance.now();
        if (again < dueAt && !(this.isChanged && again >= lastSentAt + 500)) continue;
      }
      if (this.dead) return;
      this.isChanged = false;
      const session = this.session;
      lastSentAt = performance.now();
      dueAt = lastSentAt + this.limits.reportS * 1000 * (0.75 + Math.random() / 2);
      const reply = await this.client.call(
        this.nodes[this.node].address,
        'POST',
        '/v1/report',
        this.report(),
        4000,
      );
      if (this.dead) return;
      if (reply?.status === 200) this.accept(reply.data, session, lastSentAt);
      else if (reply?.status === 421 && this.follow(reply.data?.drover)) dueAt = performance.now();
      else {
        this.node = (this.node + 1) % this.nodes.length;
        pauseMs = 1000;
        dueAt = performance.now() + 1000;
        await sleep(1000);
        pauseMs = 0;
      }
    }
  }

  follow(member) {
    const index = this.nodes.findIndex((node) => node.member === member);
    if (index < 0 || index === this.node) return false;
    this.node = index;
    return true;
  }

  accept(data, session, sentAt) {
    if (session !== this.session) return;
    const goad = Number(data.goad ?? -1);
    if (goad < this.goad) return;
    if (goad > this.goad) {
      this.goad = goad;
      this.changed();
    }
    this.lastAnsweredAt = sentAt;
    for (const call of data.calls ?? []) this.execute(call, 'report');
  }

  handle(method, path, data) {
    if (path === '/inspect') return { status: 200, data: this.report() };
    if (path !== '/orders') return { status: 400, data: {} };
    return this.orders(data, 'orders');
  }

  orders(data, via) {
    this.expireLease();
    if (data.goad === undefined || data.yoking === undefined) return { status: 400, data: {} };
    const goad = Number(data.goad);
    if (goad < this.goad || Number(data.yoking) !== this.session) {
      this.record.write(this.id, `${via} refused: token ${goad}, session ${data.yoking}`);
      return { status: 409, data: this.report() };
    }
    if (goad > this.goad) {
      this.goad = goad;
      this.changed();
    }
    for (const call of data.calls ?? []) this.execute(call, via);
    this.onOrders?.(data);
    return { status: 200, data: this.report() };
  }

  execute({ call, furrow, pull, unyoke_s: graceS }, via) {
    const key = `${furrow}@${pull}`;
    const task = this.tasks.get(key);
    if (call === 'run') this.run(furrow, pull, key, via);
    else if (call === 'forget') {
      if (task?.standing !== 'exited') return;
      this.tasks.delete(key);
      this.record.write(this.id, `forgets ${furrow} attempt ${pull}`);
      this.changed();
    } else if (call === 'kill' && task && task.standing !== 'exited') {
      this.record.write(this.id, `kill ${furrow} attempt ${pull} grace ${graceS} (${via})`);
      this.exit(task, 'halted');
    }
  }

  run(name, pull, key, via) {
    if (this.tasks.has(key)) return;
    const job = this.jobs.get(name.split('/')[0]);
    const task = { name, pull, key, standing: 'pulling', job };
    const others = [...this.tasks.values()].filter((t) => t.standing !== 'exited');
    this.tasks.set(key, task);
    this.changed();
    if (!job) return this.exit(task, 'unknown');
    if (others.some((t) => t.name === name)) return this.exit(task, 'busy');
    const used = (field) => others.reduce((sum, t) => sum + t.job.spec[field], job.spec[field]);
    const { vcpus, cards, mem_gb: memGb } = this.breed;
    if (used('vcpus') > vcpus + 1e-9 || used('cards') > cards + 1e-9 || used('mem_gb') > memGb + 1e-9)
      return this.exit(task, 'full');
    const fetchS = this.images.has(job.spec.seedbag) ? 0 : job.spec.size_gb / this.breed.fetch_gb_per_s;
    task.timer = setTimeout(() => this.begin(task), fetchS * 1000);
    this.record.write(this.id, `run ${name} attempt ${pull} (${via})`);
  }

  begin(task) {
    if (this.dead || task.standing !== 'pulling') return;
    const { job } = task;
    this.images.set(job.spec.seedbag, true);
    task.standing = job.spec.gait === 'ensemble' ? 'gathering' : 'running';
    this.world.enter(task.name, this.id, task.pull);
    this.changed();
    if (this.world.results.has(task.name)) return this.exit(task, 'done');
    if (job.spec.gait === 'ensemble') return this.world.gather(this, task);
    if (job.failsOn?.has(this.id)) {
      task.timer = setTimeout(() => this.exit(task, 'error'), 300);
    } else if (job.spec.gait !== 'daemon') {
      task.timer = setTimeout(() => {
        this.world.results.set(task.name, performance.now());
        this.exit(task, 'done');
      }, job.runS * 1000);
    }
  }

  exit(task, cause) {
    this.leave(task);
    task.standing = 'exited';
    task.cause = cause;
    this.record.write(this.id, `exits ${task.name} attempt ${task.pull}: ${cause}`);
    this.changed();
  }

  leave(task) {
    clearTimeout(task.timer);
    if (task.standing === 'running' || task.standing === 'gathering')
      this.world.leave(task.name, this.id, task.pull);
    this.world.ungather(this, task);
  }
}

/** What is on which machine, as an observer outside would see it. */
export class World {
  constructor(record) {
    this.record = record;
    this.on = new Map();
    this.results = new Map();
    this.gangs = new Map();
    this.starts = [];
    this.twice = [];
  }

  enter(name, machine, pull) {
    const places = this.on.get(name) ?? new Map();
    this.on.set(name, places);
    const elsewhere = [...places.keys()].filter((other) => other !== machine);
    if (elsewhere.length > 0) this.twice.push({ name, machine, elsewhere, at: this.record.seconds() });
    const also = elsewhere.length > 0 ? `, while it is on ${elsewhere.join(' ')}` : '';
    this.record.write('world', `${name} attempt ${pull} starts on ${machine}${also}`);
    this.starts.push({ name, machine, at: performance.now() });
    places.set(machine, pull);
  }

  leave(name, machine) {
    this.on.get(name)?.delete(machine);
  }

  /** A gang task that has its image waits for the others of its attempt; all start once the last one is there. */
  gather(worker, task) {
    const gang = this.gangOf(task);
    gang.members.set(task.name, { worker, task });
    task.timer = setTimeout(() => worker.exit(task, 'incomplete'), worker.limits.gangWaitS * 1000);
    if (gang.members.size < task.job.spec.furrows) return;
    gang.started = true;
    for (const member of gang.members.values()) {
      clearTimeout(member.task.timer);
      member.task.standing = 'running';
      member.worker.changed();
    }
    gang.timer = setTimeout(() => this.completeGang(gang), task.job.runS * 1000);
  }

  completeGang(gang) {
    gang.completed = true;
    for (const { worker, task } of [...gang.members.values()]) {
      this.results.set(task.name, performance.now());
      worker.exit(task, 'done');
    }
  }

  /** A task left its machine: the others of a gang that runs notice it. */
  ungather(worker, task) {
    if (task.job?.spec.gait !== 'ensemble') return;
    const gang = this.gangOf(task);
    if (gang.members.get(task.name)?.task !== task) return;
    gang.members.delete(task.name);
    if (!gang.started || gang.completed || gang.failed) return;
    gang.failed = true;
    clearTimeout(gang.timer);
    for (const member of gang.members.values()) {
      const noticeMs = Math.random() * worker.limits.gangPeerS * 1000;
      member.task.timer = setTimeout(() => member.worker.exit(member.task, 'peers'), noticeMs);
    }
  }

  gangOf(task) {
    const key = `${task.name.split('/')[0]}@${task.pull}`;
    if (!this.gangs.has(key)) this.gangs.set(key, { members: new Map(), started: false });
    return this.gangs.get(key);
  }

  machinesOf(name) {
    return [...(this.on.get(name)?.keys() ?? [])];
  }
}
