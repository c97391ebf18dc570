// A small deployment: three controllers as separate processes, started with a command of a deploy file, and the stand-ins.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, freePorts, now, Recorder, sleep } from './base.mjs';
import { Cloud, World } from './fleet.mjs';
import { StateService } from './state.mjs';

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Limits and times of the small deployments of the users' brief. */
export const MERROWICK = {
  zones: ['harbor', 'millyard', 'ridgeline', 'capeside'],
  workers: { report_s: 3, lease_s: 30, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 50 },
  state: { rps: 150, write_rps: 50, value_kb: 32, txn_ops: 12 },
  cloud: { rps: 8, list_lag_s: 3 },
  time_bound_ms: 1000,
  teams: Array.from({ length: 10 }, (_, i) => ({ name: `tilecrew-0${i}`, gpus: 24, gpus_max: 96 })),
  types: [
    {
      label: 'lobster-rig',
      vcpus: 96,
      cards: 8,
      mem_gb: 384,
      cache_gb: 50,
      fetch_gb_per_s: 1,
      rate: 31.82,
      spot_price: 9.64,
      ready_s: 50,
      paddocks: ['harbor', 'millyard', 'ridgeline', 'capeside'],
    },
  ],
};
export const SAHULAT = {
  zones: ['chenab', 'indus', 'margalla', 'ravi'],
  workers: { report_s: 3, lease_s: 24, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 54 },
  state: { rps: 150, write_rps: 35, value_kb: 8, txn_ops: 12 },
  cloud: { rps: 4, list_lag_s: 3 },
  time_bound_ms: 250,
  teams: Array.from({ length: 16 }, (_, i) => ({
    name: `waqt-team-${String(i).padStart(2, '0')}`,
    gpus: 8,
    gpus_max: 12,
  })),
  types: [
    {
      label: 'chhota-box',
      vcpus: 12,
      cards: 2,
      mem_gb: 48,
      cache_gb: 50,
      fetch_gb_per_s: 1,
      rate: 4.24,
      spot_price: 1.67,
      ready_s: 25,
      paddocks: ['chenab', 'indus', 'margalla', 'ravi'],
    },
    {
      label: 'bara-box',
      vcpus: 32,
      cards: 4,
      mem_gb: 128,
      cache_gb: 50,
      fetch_gb_per_s: 1,
      rate: 11.39,
      spot_price: 4.69,
      ready_s: 35,
      paddocks: ['chenab', 'indus', 'margalla', 'ravi'],
    },
  ],
};

/** The command of a deploy file, as its `run` says it. */
const commandOf = (deployFile) =>
  /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy', deployFile), 'utf8'))[1].split(' ');

export class Site {
  nodes = [];
  answers = 0;
  constructor(plan, deployFile = 'service.toml') {
    this.plan = plan;
    this.command = commandOf(deployFile);
    this.recorder = new Recorder();
    this.world = new World(this.recorder);
    this.folder = mkdtempSync(join(tmpdir(), 'gorseyoke-review-'));
  }

  async open({ standing = [], capacity = 0, boot = 1, count = 3 } = {}) {
    const { plan, recorder } = this;
    const ports = await freePorts(2 * count);
    this.nodes = Array.from({ length: count }, (_, i) => ({
      member: `yokehost-${i}`,
      domain: plan.zones[i],
      address: `127.0.0.1:${ports[2 * i]}`,
      mesh: `127.0.0.1:${ports[2 * i + 1]}`,
    }));
    await this.prepare?.();
    this.state = new StateService(plan.state, recorder);
    this.cloud = new Cloud(
      this.world,
      { ...plan.workers, ...plan.cloud, nodes: this.nodes, capacity, boot },
      plan.types,
    );
    this.cloudAddress = await this.cloud.listen();
    for (const [breed, paddock, stray] of standing) await this.cloud.stand(breed, paddock, stray);
    for (const node of this.nodes) {
      node.state = await this.state.listen(node.member);
      this.launch(node);
    }
    await this.until(async () => (await this.healthy()) === count, 30, 'all nodes are up');
  }

  settings(node) {
    const { plan } = this;
    const number = (n) => (Number.isInteger(n) ? `${n}.0` : String(n));
    const peers = this.nodes.filter((peer) => peer !== node);
    return [
      `member = "${node.member}"`,
      `domain = "${node.domain}"`,
      `bind = "${node.address}"`,
      `mesh_addr = "${node.mesh}"`,
      ...peers.flatMap((peer) => [
        '',
        '[[members]]',
        `member = "${peer.member}"`,
        `domain = "${peer.domain}"`,
        `endpoint = "${node.linkTo?.[peer.member] ?? peer.mesh}"`,
      ]),
      '',
      '[services]',
      `cloud = "${this.cloudAddress}"`,
      `state = "${node.state}"`,
      '',
      '[params]',
      `nodes = ${this.nodes.length}`,
      `zones = ${JSON.stringify(plan.zones)}`,
      `time_bound_ms = ${number(plan.time_bound_ms)}`,
      ...plan.teams.flatMap(({ name, gpus, gpus_max }) => [
        '',
        '[[params.teams]]',
        `name = "${name}"`,
        'cpus = 0.0',
        'cpus_max = 0.0',
        `gpus = ${number(gpus)}`,
        `gpus_max = ${number(gpus_max)}`,
      ]),
      '',
      '[params.workers]',
      ...Object.entries(plan.workers).map(([key, value]) => `${key} = ${number(value)}`),
      '',
      '[params.state]',
      `rps = ${number(plan.state.rps)}`,
      `write_rps = ${number(plan.state.write_rps)}`,
      `value_kb = ${number(plan.state.value_kb)}`,
      `txn_ops = ${plan.state.txn_ops}`,
      '',
      '[params.cloud]',
      `rps = ${number(plan.cloud.rps)}`,
      `list_lag_s = ${number(plan.cloud.list_lag_s)}`,
      '',
      '[params.quota]',
      'core_share = 0.425',
      'memory_mb = 306.0',
      'max_connections = 3000',
      '',
    ].join('\n');
  }

  /** Starts the node's process with the command of the deploy file and its settings file as the last argument. */
  launch(node) {
    const file = join(this.folder, `${node.member}.toml`);
    writeFileSync(file, this.settings(node));
    const log = openSync(join(this.folder, `${node.member}.log`), 'a');
    const [program, ...args] = this.command;
    node.process = spawn(program, [...args, file], {
      cwd: root,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    closeSync(log);
    const child = node.process;
    // No process outlives the script, however it ends.
    process.setMaxListeners(100);
    process.once('exit', () => child.kill('SIGKILL'));
    child.once('exit', (code, signal) => {
      if (node.process !== child || node.ended || this.closing) return;
      this.recorder.note(`node ${node.member} ended by itself: code ${code}, signal ${signal}`);
      this.endedAlone = true;
    });
    this.recorder.note(`node ${node.member} started`);
  }

  kill(node) {
    node.ended = true;
    this.recorder.note(`node ${node.member} killed`);
    node.process.kill('SIGKILL');
  }

  restart(node) {
    node.ended = false;
    this.launch(node);
  }

  log(node) {
    return readFileSync(join(this.folder, `${node.member}.log`), 'utf8');
  }

  async healthy() {
    const replies = await Promise.all(
      this.nodes.map((node) =>
        call(node.address, 'GET', '/up', undefined, 1000).catch(() => ({ status: 0 })),
      ),
    );
    return replies.filter(({ status }) => status === 200).length;
  }

  async until(holds, seconds, what) {
    const limit = now() + seconds;
    while (now() < limit) {
      if (await holds()) return true;
      await sleep(100);
    }
    if (what) throw new CannotRun(`not within ${seconds} s: ${what}`);
    return false;
  }

  /** The name of the node that holds the leadership, as the state service has it. */
  leader() {
    const member = this.state.keys.get('term/holder')?.data?.body?.member;
    return this.nodes.find((node) => node.member === member);
  }

  /** One request of a user to one node; the answer is recorded. */
  async ask(node, method, path, body, { quiet = false, timeoutMs = 5000 } = {}) {
    let reply;
    try {
      reply = await call(node.address, method, path, body, timeoutMs);
    } catch (error) {
      reply = { status: 0, body: { error: String(error.message) } };
    }
    if (!quiet)
      this.recorder.note(
        `user ${method} ${path} at ${node.member}: ${reply.status} ${JSON.stringify(reply.body, (_, v) => (typeof v === 'bigint' ? Number(v) : v))?.slice(0, 200) ?? ''}`,
      );
    return reply;
  }

  /** Repeats a request as users do: 60 s in total, a second apart or as `Retry-After` says, at other nodes in turn. */
  async insist(method, path, body, { accept = [200, 201], seconds = 60, quiet = false } = {}) {
    const until = now() + seconds;
    let reply;
    for (let turn = Math.floor(Math.random() * 3); now() < until; turn++) {
      reply = await this.ask(this.nodes[turn % this.nodes.length], method, path, body, { quiet });
      if (accept.includes(reply.status) || [400, 404, 409, 422].includes(reply.status)) return reply;
      const after = Math.min(30, Math.max(1, Number(reply.headers?.['retry-after'] ?? 1)));
      await sleep(after * 1000);
    }
    return reply;
  }

  submit(spec, { runS = 1, broken = false, ...more } = {}) {
    this.world.jobs.set(spec.id, { spec, runS, broken, ...more });
    return this.insist('POST', '/v1/jobs', spec);
  }

  poll(id, options) {
    const node = this.nodes[this.answers++ % this.nodes.length];
    return this.ask(node, 'GET', `/v1/jobs/${id}`, undefined, { timeoutMs: 2000, ...options });
  }

  /** Ends every process that the script started. */
  async close() {
    this.closing = true;
    for (const node of this.nodes) {
      node.process?.kill('SIGCONT');
      node.process?.kill('SIGKILL');
    }
    await sleep(200);
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
  }
}

export class CannotRun extends Error {}

/** A job as the protocol's page writes it. */
export const job = (id, team, fields = {}) => ({
  id,
  drove: 'slot-score',
  herd: team,
  gait: 'array',
  rank: 'standard',
  furrows: 1,
  vcpus: 1,
  cards: 1,
  mem_gb: 1,
  seedbag: 'img-01',
  size_gb: 0.1,
  breeds: null,
  paddock: null,
  one_zone: false,
  scatter: false,
  stray: false,
  plough_s: 5,
  rest_s: 0,
  bale_s: 0,
  harvest_s: null,
  ...fields,
});

/** Runs a case: exit code 1 if `body` returns broken rules, 0 if it returns none, 2 if it could not run. */
export async function runCase(folder, body) {
  const trouble = process.env.TROUBLE !== '0';
  let site;
  let code = 2;
  const hold = (made) => (site = made);
  const limit = setTimeout(() => void finish(2, 'the case took too long'), 118_000);
  const finish = async (result, why) => {
    clearTimeout(limit);
    site?.recorder.note(why);
    console.log(why);
    site?.recorder.write(process.env.RECORD ?? join(folder, 'record.txt'));
    await site?.close();
    process.exit(result);
  };
  process.on('uncaughtException', (error) => void finish(2, `could not run: ${error.stack}`));
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void finish(2, `ended by ${signal}`));
  try {
    const broken = await body(trouble, hold);
    code = broken.length > 0 ? 1 : 0;
    await finish(code, code === 1 ? `rule broken: ${broken.join('; ')}` : 'rule held');
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}
