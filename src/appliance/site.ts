import { randomInt } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Agent, Images, Outputs, Processes, Tasks } from '../agent/index.js';
import { Controller } from '../coordination/controller.js';
import { createPipelineManager } from '../coordination/pipelines/pipeline-manager.js';
import { createElasticJobManager } from '../coordination/elastic/elastic-job-manager.js';
import { Provider } from '../provider/index.js';
import { openStorage, StateService } from '../state/index.js';
import { systemClock } from '../transport/clock.js';
import { createHttpClient } from '../transport/http-client.js';
import { serveHttp, type ServerOptions } from '../transport/http-server.js';
import { frameGuard, componentsGuard, signer, usersGuard, type Key } from '../keys/index.js';
import { tlsFrom } from './tls.js';
import type { Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import { createTcpMesh } from '../transport/mesh.js';
import { Metrics } from '../transport/metrics.js';
import { seededRandom } from '../transport/random.js';
import type { MachineType } from '../protocol/cloud.js';
import type { Address, JobId, MemberName, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { encodeError } from '../protocol/jobs.js';
import { defaultOperatorSettings } from '../protocol/operator-settings.js';
import type { Settings } from '../protocol/settings.js';
import { CONTENT_TYPE } from '../protocol/wire.js';
import { DescriptionStore } from './descriptions.js';
import type { Site, SiteNode } from './settings.js';

const ZONE = 'here' as ZoneName;
const memberName = (node: SiteNode): MemberName => node.name as MemberName;
/** Limit of open connections to one server of a site: each of 4,000 machines has two clients, a controller and an agent. */
export const MAX_CONNECTIONS = 10_000;

/** Far above what one machine needs, and low enough that a faulty client does not fill the disk. */
const STATE_LIMITS = { rps: 2000, writeRps: 1000, txnOps: 12, valueKb: 16 } as const;

export interface RunningSite {
  readonly address: string;
  /** Stops the site in order: tasks first, the state service last. */
  stop(): Promise<void>;
}

const addressOf = (node: SiteNode, portOffset: number): Address =>
  `${node.host}:${node.port + portOffset}` as Address;

/** Paths of a site's folders and files, below its data folder. */
export const sitePaths = (data: string) => ({
  state: join(data, 'state'),
  processes: join(data, 'processes'),
  outputs: join(data, 'outputs'),
  work: join(data, 'work'),
  saved: join(data, 'saved'),
  images: join(data, 'images'),
  agent: join(data, 'agent.json'),
  provider: join(data, 'provider.json'),
  logs: join(data, 'logs'),
  processRecord: join(data, 'life.json'),
});

function controllerSettings(site: Site, node: SiteNode): Settings {
  const stateNode = site.nodes[0]!;
  return {
    member: memberName(node),
    zone: ZONE,
    listen: addressOf(node, 0),
    meshListen: addressOf(node, 1),
    peers: site.nodes
      .filter((n) => n !== node)
      .map((n) => ({ member: memberName(n), address: addressOf(n, 1) })),
    cloud: addressOf(stateNode, 3),
    state: addressOf(stateNode, 2),
    zones: [ZONE],
    teams: site.teams.map((team) => ({
      name: team.name as TeamName,
      cpus: team.cpus,
      cpusMax: team.cpusMax,
      gpus: team.gpus,
      gpusMax: team.gpusMax,
    })),
    objectives: [],
    workers: site.timing,
    store: STATE_LIMITS,
    cloudLimits: { rps: 50, listLagS: 1 },
    maxConnections: MAX_CONNECTIONS,
  };
}

/** Machines of the same size have the same machine type. */
const machineTypeName = (node: SiteNode): TypeName =>
  `own-${node.cpus}-${node.memoryGb}-${node.gpus}` as TypeName;
const machineType = (node: SiteNode): MachineType => ({
  name: machineTypeName(node),
  cpus: node.cpus,
  gpus: node.gpus,
  memoryGb: node.memoryGb,
  cacheGb: 1000,
  fetchGbPerS: 1,
  // The owner has already paid for the machine; a price above zero keeps price ratios meaningful.
  price: 0.01,
  spotPrice: 0.01,
  bootS: 2,
  zones: [ZONE],
});

/**
 * Starts all that one machine of a site runs, in one process: agent and controller, and on the first machine also the state
 * service and the provider.
 */
export async function startSite(
  site: Site,
  node: SiteNode,
  log: Log,
  keys: readonly Key[] = [],
): Promise<RunningSite> {
  const stateNode = site.nodes[0]!;
  const runsState = node === stateNode;
  const paths = sitePaths(site.data);
  for (const f of [paths.outputs, paths.work, paths.saved, paths.images]) mkdirSync(f, { recursive: true });
  const clock = systemClock;
  const metrics = new Metrics();
  const nodeKey = keys.find((k) => k.role.kind === 'node');
  const http = createHttpClient(64, CONTENT_TYPE, undefined, nodeKey ? { sign: signer(nodeKey, clock) } : {});
  const incarnation = randomInt(1, 2 ** 47);
  const random = seededRandom(incarnation);
  const servers: { close(): void }[] = [];
  const internalGuard = nodeKey ? componentsGuard({ clock, log, keys }) : undefined;
  const serve = async (
    address: Address,
    routes: readonly Route[],
    overrides: Partial<ServerOptions> = {},
  ): Promise<void> => {
    servers.push(
      await serveHttp(address, routes, {
        ...(internalGuard ? { guard: internalGuard } : {}),
        maxBody: 64 * 1024,
        contentType: CONTENT_TYPE,
        errorBody: encodeError,
        maxConnections: MAX_CONNECTIONS,
        ...overrides,
      }),
    );
  };
  // Orphan tasks of an earlier process are ended before this process sends any heartbeat for the machine.
  const processes = new Processes(paths.processes, log);
  await processes.endOrphans();
  const state = runsState
    ? await StateService.open({
        clock,
        log,
        metrics,
        limits: STATE_LIMITS,
        open: () => openStorage(paths.state),
      })
    : undefined;
  if (state) await serve(addressOf(node, 2), state.routes);
  const descriptions = new DescriptionStore(http, addressOf(stateNode, 2), STATE_LIMITS.valueKb);
  const taskChange = { notify: (): void => undefined };
  const tasks = new Tasks({
    clock,
    log,
    http,
    storeAddress: addressOf(stateNode, 2),
    gangWaitS: site.timing.gangWaitS,
    gangPeerS: site.timing.gangPeerS,
    capacity: { cpus: node.cpus, gpus: node.gpus, memoryGb: node.memoryGb },
    host: node.host,
    describe: (id) => descriptions.get(id),
    processes,
    images: new Images(paths.images, site.images),
    outputs: new Outputs(paths.outputs, site.output),
    workFolder: paths.work,
    savedFolder: paths.saved,
    niceness: site.niceness,
    path: process.env['PATH'] ?? '/usr/bin:/bin',
    onChange: () => taskChange.notify(),
  });
  const agent = Agent.start({
    clock,
    random,
    log,
    http,
    tasks,
    controllers: site.nodes.map((n) => ({ member: memberName(n), address: addressOf(n, site.tls ? 5 : 0) })),
    address: addressOf(node, 4),
    type: machineTypeName(node),
    zone: ZONE,
    heartbeatIntervalS: site.timing.reportS,
    leaseS: site.timing.leaseS,
    stateFile: paths.agent,
    onLeaseRenewed: (ms) => processes.writeLease(ms),
  });
  taskChange.notify = () => agent.onTaskChange();
  await serve(addressOf(node, 4), agent.routes);
  const provider = runsState
    ? new Provider({
        clock,
        log,
        http,
        machines: site.nodes.map((n) => ({
          name: n.name,
          address: addressOf(n, 4),
          type: machineType(n),
          zone: ZONE,
        })),
        leaseS: site.timing.leaseS,
        stateFile: paths.provider,
      })
    : undefined;
  if (provider) await serve(addressOf(node, 3), provider.routes);
  const settings = controllerSettings(site, node);
  const controller = new Controller({
    settings,
    operator: {
      ...defaultOperatorSettings(),
      pipelines: site.pipelines ? 1 : 0,
      elastic: site.elastic ? 1 : 0,
    },
    clock,
    random,
    log,
    metrics,
    http,
    mesh: createTcpMesh(
      settings.meshListen,
      new Map(settings.peers.map((p) => [p.member as string, p.address as string])),
      clock,
      nodeKey && frameGuard(nodeKey, clock),
    ),
    incarnation,
    pipelines: site.pipelines ? createPipelineManager : undefined,
    createElasticJobManager: site.elastic ? createElasticJobManager : undefined,
  });
  controller.start();
  // Agents use the users' routes as well. Where these are served with TLS, a separate port serves them to agents without TLS.
  const userRoutes = [...controller.routes, ...descriptions.routes];
  const guard = nodeKey && usersGuard({ clock, log, keys, teamOf: (id) => controller.teamOf(id as JobId) });
  const tls = site.tls && tlsFrom(site.tls, log);
  await serve(addressOf(node, 0), userRoutes, {
    ...(guard ? { guard } : {}),
    ...(tls ? { secure: tls.server } : {}),
  });
  if (tls) await serve(addressOf(node, 5), userRoutes);
  log.info('serving', { address: settings.listen, site: site.name, node: node.name });
  return {
    address: settings.listen,
    async stop() {
      log.info('going-down');
      provider?.stop();
      await agent.stop();
      await state?.close();
      tls?.stop();
      for (const s of servers) s.close();
      log.info('down');
    },
  };
}
