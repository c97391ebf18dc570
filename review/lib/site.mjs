import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { Client } from './http.mjs';
import { Record, sleep, waitFor } from './record.mjs';
import { StateService } from './state-service.mjs';
import { Worker, World } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');

/** As in deploy/service.toml, `run`. */
const RUN = ['--max-old-space-size=128', '--max-semi-space-size=8', 'target/start.cjs', '--config'];

/** The figures of the site sahulat-cal as its page and the deploy page give them. */
export const SAHULAT = {
  nodes: ['chenab', 'ravi', 'indus'],
  zones: ['chenab', 'ravi', 'indus', 'margalla'],
  workers: { reportS: 3, leaseS: 24, gangWaitS: 50, gangPeerS: 8, cancelS: 54 },
  state: { rps: 150, writeRps: 35, valueKb: 8, txnOps: 12 },
  cloud: { rps: 4, listLagS: 3 },
  quota: { core_share: 0.425, memory_mb: 306, max_connections: 3000 },
  teams: Array.from({ length: 16 }, (_, i) => ({
    name: `waqt-team-${String(i).padStart(2, '0')}`,
    gpus: 8,
    gpusMax: 12,
  })),
  breeds: [
    {
      label: 'chhota-box',
      vcpus: 12,
      cards: 2,
      mem_gb: 48,
      cache_gb: 80,
      fetch_gb_per_s: 0.4,
      rate: 4.24,
      spot_price: 1.67,
      ready_s: 25,
      paddocks: ['ravi', 'indus', 'margalla'],
    },
    {
      label: 'bara-box',
      vcpus: 32,
      cards: 4,
      mem_gb: 128,
      cache_gb: 100,
      fetch_gb_per_s: 0.4,
      rate: 11.39,
      spot_price: 4.69,
      ready_s: 35,
      paddocks: ['chenab', 'ravi', 'indus', 'margalla'],
    },
  ],
  /** Machines that are up at the start: breed, zone, count. */
  standing: [
    ['chhota-box', 'ravi', 3],
    ['chhota-box', 'indus', 3],
    ['chhota-box', 'margalla', 5],
    ['bara-box', 'chenab', 2],
    ['bara-box', 'ravi', 2],
    ['bara-box', 'indus', 2],
    ['bara-box', 'margalla', 3],
  ],
};

/** Ports that are free on this loopback address. */
async function freePorts(count, host) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** A small deployment: three controllers as the deploy file starts them, and stand-ins for everything else. */
export class Site {
  constructor(recordFile, figures = SAHULAT) {
    this.figures = figures;
    this.record = new Record(recordFile);
    this.world = new World(this.record);
    this.jobs = new Map();
    this.workers = [];
    this.children = new Map();
    this.folder = mkdtempSync(join(tmpdir(), 'gorseyoke-review-'));
    process.on('exit', () => this.endProcesses());
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
  }

  async start() {
    const { figures, record } = this;
    this.state = new StateService(figures.state);
    await this.state.start();
    this.cloud = new Cloud(
      figures.breeds,
      { lagMs: figures.cloud.listLagS * 1000, capacity: figures.capacity ?? {} },
      record,
    );
    // The controllers' addresses are not those of the stand-ins, whose ports the system hands out meanwhile.
    const byte = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${byte()}.${byte()}.${byte()}`;
    const ports = await freePorts(2 * figures.nodes.length, host);
    this.nodes = figures.nodes.map((zone, i) => ({
      member: `yokehost-${i}`,
      zone,
      address: `${host}:${ports[2 * i]}`,
      mesh: `${host}:${ports[2 * i + 1]}`,
      client: new Client(),
    }));
    for (const node of this.nodes) node.state = await this.state.addressFor(node.member);
    for (const [breed, paddock, count] of figures.standing)
      for (let i = 0; i < count; i++)
        this.cloud.add({
          breed,
          paddock,
          stray: false,
          standing: 'running',
          rentedAt: performance.now() - 600_000,
        });
    for (const machine of this.cloud.machines.values()) await this.addWorker(machine);
    await this.cloud.start();
    this.nodes.forEach((node) => this.startNode(node));
    const isUp = async (node) =>
      (await node.client.call(node.address, 'GET', '/up', undefined, 1000))?.status === 200;
    const allUp = await waitFor(async () => (await Promise.all(this.nodes.map(isUp))).every(Boolean), 20_000);
    if (!allUp) throw new Error('the controllers do not get ready');
    const leader = await waitFor(() => this.state.leader(), 10_000);
    record.write('platform', `leader ${leader}`);
    // Every worker has learned the leader's token.
    const known = await waitFor(() => this.workers.every((worker) => worker.goad > 0), 20_000);
    if (!known) throw new Error('workers find no leader');
    await sleep(4000);
  }

  async addWorker(machine) {
    const breed = this.figures.breeds.find((b) => b.label === machine.breed);
    const { nodes, jobs, world, record } = this;
    const worker = new Worker({
      machine,
      breed,
      nodes,
      limits: this.figures.workers,
      jobs,
      world,
      record,
    });
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  settings(node) {
    const { figures } = this;
    const { workers, state, cloud, quota } = figures;
    const real = (n) => (Number.isInteger(n) ? n.toFixed(1) : String(n));
    const lines = [
      `member = "${node.member}"`,
      `domain = "${node.zone}"`,
      `bind = "${node.address}"`,
      `mesh_addr = "${node.mesh}"`,
      ...this.nodes
        .filter((other) => other !== node)
        .flatMap((other) => [
          '[[members]]',
          `member = "${other.member}"`,
          `domain = "${other.zone}"`,
          `endpoint = "${this.meshEndpoint(node, other)}"`,
        ]),
      '[services]',
      `cloud = "${this.cloud.address}"`,
      `state = "${node.state}"`,
      '[params]',
      `nodes = ${this.nodes.length}`,
      `zones = ${JSON.stringify([...figures.zones].sort())}`,
      'time_bound_ms = 250.0',
      ...figures.teams.flatMap((team) => [
        '[[params.teams]]',
        `name = "${team.name}"`,
        'cpus = 0.0',
        'cpus_max = 0.0',
        `gpus = ${real(team.gpus)}`,
        `gpus_max = ${real(team.gpusMax)}`,
      ]),
      '[params.workers]',
      `report_s = ${real(workers.reportS)}`,
      `lease_s = ${real(workers.leaseS)}`,
      `gang_wait_s = ${real(workers.gangWaitS)}`,
      `gang_peer_s = ${real(workers.gangPeerS)}`,
      `cancel_s = ${real(workers.cancelS)}`,
      '[params.state]',
      `rps = ${real(state.rps)}`,
      `write_rps = ${real(state.writeRps)}`,
      `value_kb = ${real(state.valueKb)}`,
      `txn_ops = ${state.txnOps}`,
      ...(figures.nextState
        ? [
            '[params.state.next]',
            `write_rps = ${real(figures.nextState.writeRps)}`,
            `value_kb = ${real(figures.nextState.valueKb)}`,
            `txn_ops = ${figures.nextState.txnOps}`,
          ]
        : []),
      '[params.cloud]',
      `rps = ${real(cloud.rps)}`,
      `list_lag_s = ${real(cloud.listLagS)}`,
      '[params.quota]',
      `core_share = ${quota.core_share}`,
      `memory_mb = ${real(quota.memory_mb)}`,
      `max_connections = ${quota.max_connections}`,
    ];
    return `${lines.join('\n')}\n`;
  }

  /** Where `node` finds `other`; a case may put a proxy between them. */
  meshEndpoint(node, other) {
    return other.mesh;
  }

  startNode(node) {
    const file = join(this.folder, `${node.member}.toml`);
    writeFileSync(file, this.settings(node));
    const child = spawn(process.execPath, [...RUN, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    child.exitedByItself = true;
    child.stderr.setEncoding('utf8');
    let rest = '';
    child.stderr.on('data', (text) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      for (const line of lines) this.record.write(node.member, line);
    });
    child.on('exit', (code, signal) => {
      this.record.write('platform', `${node.member} ended: ${signal ?? code}`);
    });
    this.children.set(node.member, child);
    this.record.write('platform', `${node.member} started`);
    return child;
  }

  endProcesses() {
    for (const child of this.children.values()) child.kill('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Registers what users upload for the workers, and submits the job until it is accepted. */
  async submit(spec, { runS = 1, failsOn } = {}, node = this.nodes[0]) {
    this.jobs.set(spec.id, { spec, runS, failsOn });
    for (let attempt = 0; attempt < 30; attempt++) {
      const reply = await node.client.call(node.address, 'POST', '/v1/jobs', spec, 5000);
      const answer = reply ? `${reply.status} ${JSON.stringify(reply.data)}` : 'no answer';
      this.record.write('user', `submits ${spec.id} at ${node.member}: ${answer}`);
      if (reply && [200, 201].includes(reply.status)) return true;
      if (reply && [400, 422].includes(reply.status)) return false;
      await sleep(1000 * Number(reply?.headers['retry-after'] ?? 1));
    }
    return false;
  }

  async abort(id, node = this.nodes[0]) {
    for (let attempt = 0; attempt < 30; attempt++) {
      const reply = await node.client.call(node.address, 'POST', `/v1/jobs/${id}/abort`, undefined, 5000);
      const answer = reply ? `${reply.status} ${JSON.stringify(reply.data)}` : 'no answer';
      this.record.write('user', `cancels ${id} at ${node.member}: ${answer}`);
      if (reply?.status === 200) return reply.data.standing;
      await sleep(1000 * Number(reply?.headers['retry-after'] ?? 1));
    }
    return undefined;
  }

  /** Asks about the job; returns its standing, or undefined where there was no such answer. */
  async poll(id, node) {
    const reply = await node.client.call(node.address, 'GET', `/v1/jobs/${id}`, undefined, 2000);
    const answer = reply ? `${reply.status} ${JSON.stringify(reply.data)}` : 'no answer';
    this.record.write('user', `asks for ${id} at ${node.member}: ${answer}`);
    return reply?.status === 200 ? reply.data.standing : undefined;
  }
}

let nextJob = 100;

/** An array of the class slot-score, smaller and shorter than usual; `more` replaces fields. */
export const arrayJob = (more = {}) => ({
  id: `req-${String(nextJob++).padStart(6, '0')}`,
  drove: 'slot-score',
  herd: 'waqt-team-00',
  gait: 'array',
  rank: 'standard',
  furrows: 1,
  vcpus: 5,
  cards: 1,
  mem_gb: 18,
  seedbag: 'img-01',
  size_gb: 0.2,
  breeds: null,
  paddock: null,
  one_zone: false,
  scatter: false,
  stray: true,
  plough_s: 3,
  rest_s: 0,
  bale_s: 0,
  harvest_s: null,
  ...more,
});

/** Runs a case: exit 1 where `play` returns a broken rule, 0 where it returns undefined, 2 where it can't run. */
export async function runCase(recordFile, play, figures) {
  const site = new Site(recordFile, figures);
  const trouble = process.env.TROUBLE !== '0';
  const giveUp = setTimeout(() => {
    site.record.write('case', 'could not run: out of time');
    process.exit(2);
  }, 115_000);
  let broken;
  try {
    await site.start();
    broken = await play(site, trouble);
  } catch (error) {
    site.record.write('case', `could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
    process.exit(2);
  }
  clearTimeout(giveUp);
  const verdict = broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`;
  site.record.write('case', verdict);
  console.log(verdict);
  process.exit(broken === undefined ? 0 : 1);
}
