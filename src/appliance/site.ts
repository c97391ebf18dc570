import { randomInt } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Agent, Images, Outputs, Processes, Tasks } from '../agent/index.js';
import { Controller } from '../coordination/controller.js';
import { createPipelines } from '../coordination/pipelines/index.js';
import { Provider } from '../provider/index.js';
import { openStorage, StateService } from '../state/index.js';
import { systemClock } from '../transport/clock.js';
import { netHttpClient } from '../transport/http-client.js';
import { serveHttp } from '../transport/http-server.js';
import type { Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import { netMesh } from '../transport/mesh.js';
import { Metrics } from '../transport/metrics.js';
import { seededRandom } from '../transport/random.js';
import type { MachineType } from '../protocol/cloud.js';
import type { Address, MemberName, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { encodeError } from '../protocol/jobs.js';
import { defaultOperator } from '../protocol/operator.js';
import type { Settings } from '../protocol/settings.js';
import { CONTENT_TYPE } from '../protocol/wire.js';
import { DescriptionStore } from './descriptions.js';
import type { Site } from './settings.js';

const ZONE = 'here' as ZoneName;
const MEMBER = 'site' as MemberName;
/** Far above what one machine needs, and below what would let a fault of a client fill the disk. */
const STATE_LIMITS = { rps: 2000, writeRps: 1000, txnOps: 12, valueKb: 16 } as const;

export interface RunningSite {
  readonly address: string;
  /** Everything ends in order: tasks first, the state last. */
  down(): Promise<void>;
}

const portOf = (site: Site, n: number): Address => `${site.host}:${site.port + n}` as Address;

/** Folders of a site, below its data. */
export const folders = (data: string) => ({
  state: join(data, 'state'),
  processes: join(data, 'processes'),
  outputs: join(data, 'outputs'),
  work: join(data, 'work'),
  saved: join(data, 'saved'),
  images: join(data, 'images'),
  agent: join(data, 'agent.json'),
  provider: join(data, 'provider.json'),
  logs: join(data, 'logs'),
  life: join(data, 'life.json'),
});

function settingsOf(site: Site): Settings {
  return {
    member: MEMBER,
    zone: ZONE,
    listen: portOf(site, 0),
    meshListen: portOf(site, 1),
    peers: [],
    cloud: portOf(site, 3),
    state: portOf(site, 2),
    zones: [ZONE],
    teams: site.teams.map((t) => ({
      name: t.name as TeamName,
      cpus: t.cpus,
      cpusMax: t.cpusMax,
      gpus: t.cards,
      gpusMax: t.cardsMax,
    })),
    objectives: [],
    workers: site.timing,
    store: STATE_LIMITS,
    cloudLimits: { rps: 50, listLagS: 1 },
    maxConnections: 500,
  };
}

const typeOf = (site: Site): MachineType => ({
  name: 'own' as TypeName,
  cpus: site.machine.cpus,
  gpus: site.machine.cards,
  memoryGb: site.machine.memoryGb,
  cacheGb: 1000,
  fetchGbPerS: 1,
  // The owner has paid for it; a price above nothing keeps ratios of prices sensible.
  price: 0.01,
  spotPrice: 0.01,
  bootS: 2,
  zones: [ZONE],
});

/** All of a small site in one process: state, provider, agent, one controller. */
export async function startSite(site: Site, log: Log): Promise<RunningSite> {
  const place = folders(site.data);
  for (const f of [place.outputs, place.work, place.saved, place.images]) mkdirSync(f, { recursive: true });
  const clock = systemClock;
  const metrics = new Metrics();
  const http = netHttpClient(64, CONTENT_TYPE);
  const incarnation = randomInt(1, 2 ** 47);
  const random = seededRandom(incarnation);
  const servers: { close(): void }[] = [];
  const serve = async (address: Address, routes: readonly Route[]): Promise<void> => {
    servers.push(
      await serveHttp(address, routes, {
        maxBody: 64 * 1024,
        contentType: CONTENT_TYPE,
        errorBody: encodeError,
        maxConnections: 500,
      }),
    );
  };
  // Before anything else: what an earlier life left running is ended before this one says anything of its machine.
  const processes = new Processes(place.processes, log);
  await processes.endOrphans();
  const state = await StateService.open({
    clock,
    log,
    metrics,
    limits: STATE_LIMITS,
    open: () => openStorage(place.state),
  });
  await serve(portOf(site, 2), state.routes);
  const descriptions = new DescriptionStore(http, portOf(site, 2), STATE_LIMITS.valueKb);
  const changed = { tell: (): void => undefined };
  const tasks = new Tasks({
    clock,
    log,
    http,
    state: portOf(site, 2),
    gangWaitS: site.timing.gangWaitS,
    gangPeerS: site.timing.gangPeerS,
    room: { cpus: site.machine.cpus, gpus: site.machine.cards, memoryGb: site.machine.memoryGb },
    host: site.host,
    describe: (id) => descriptions.get(id),
    processes,
    images: new Images(place.images, site.images),
    outputs: new Outputs(place.outputs, site.output),
    workFolder: place.work,
    savedFolder: place.saved,
    niceness: site.niceness,
    path: process.env['PATH'] ?? '/usr/bin:/bin',
    onChange: () => changed.tell(),
  });
  const agent = Agent.start({
    clock,
    random,
    log,
    http,
    tasks,
    controllers: [{ member: MEMBER, address: portOf(site, 0) }],
    address: portOf(site, 4),
    type: 'own' as TypeName,
    zone: ZONE,
    reportS: site.timing.reportS,
    leaseS: site.timing.leaseS,
    memory: place.agent,
  });
  changed.tell = () => agent.noteChange();
  await serve(portOf(site, 4), agent.routes);
  const provider = new Provider({
    clock,
    log,
    http,
    machines: [{ name: site.name, address: portOf(site, 4), type: typeOf(site), zone: ZONE }],
    leaseS: site.timing.leaseS,
    memory: place.provider,
  });
  await serve(portOf(site, 3), provider.routes);
  const settings = settingsOf(site);
  const controller = new Controller({
    settings,
    operator: { ...defaultOperator(), pipelines: site.pipelines ? 1 : 0, elastic: site.elastic ? 1 : 0 },
    clock,
    random,
    log,
    metrics,
    http,
    mesh: netMesh(settings.meshListen, new Map(), clock),
    incarnation,
    pipelines: site.pipelines ? createPipelines : undefined,
  });
  controller.start();
  await serve(portOf(site, 0), [...controller.routes, ...descriptions.routes]);
  log.info('serving', { address: settings.listen, site: site.name });
  return {
    address: settings.listen,
    async down() {
      log.info('going-down');
      provider.stop();
      await agent.stop();
      await state.close();
      for (const s of servers) s.close();
      log.info('down');
    },
  };
}
