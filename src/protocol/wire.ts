/**
 * Maps the names in the code (left) to the names on the wire (right). No other file spells out a wire name, so a change of
 * the protocol's names changes this file alone.
 */
export const F = {
  id: 'id',
  class: 'drove',
  team: 'herd',
  kind: 'gait',
  priority: 'rank',
  tasks: 'furrows',
  task: 'furrow',
  image: 'seedbag',
  imageGb: 'size_gb',
  cpus: 'vcpus',
  gpus: 'cards',
  memoryGb: 'mem_gb',
  types: 'breeds',
  type: 'breed',
  zone: 'paddock',
  zones: 'paddocks',
  oneZone: 'one_zone',
  spread: 'scatter',
  spot: 'stray',
  estimateS: 'plough_s',
  checkpointS: 'rest_s',
  saveS: 'bale_s',
  deadlineS: 'harvest_s',
  state: 'standing',
  done: 'done',
  running: 'running',
  machine: 'ox',
  machines: 'oxen',
  address: 'address',
  agentEpoch: 'yoking',
  seq: 'tally',
  token: 'goad',
  noticeS: 'recall_s',
  attempt: 'pull',
  cause: 'cause',
  saved: 'kept',
  commands: 'calls',
  op: 'call',
  graceS: 'unyoke_s',
  leader: 'drover',
  request: 'hire',
  count: 'how_many',
  name: 'label',
  cacheGb: 'cache_gb',
  fetchGbPerS: 'fetch_gb_per_s',
  price: 'rate',
  spotPrice: 'spot_price',
  bootS: 'ready_s',
  after: 'since',
  limit: 'limit',
  ageS: 'held_s',
  more: 'truncated',
  key: 'key',
  value: 'data',
  prefix: 'under',
  items: 'entries',
  modRevision: 'mark',
  lease: 'tether',
  revision: 'ledger',
  if: 'if',
  then: 'then',
  put: 'set',
  delete: 'remove',
  failed: 'failed',
  ttlMs: 'life_ms',
  waitMs: 'wait_ms',
  events: 'news',
  error: 'error',
  // Extensions by this project; receivers that do not know them ignore them.
  widthLeast: 'width_least',
  widthMost: 'width_most',
  giveBackS: 'give_back_s',
  rentUpTo: 'rent_up_to',
  headRoom: 'head_room',
} as const;

export const Kinds = { array: 'array', gang: 'ensemble', service: 'daemon' } as const;
export type Kind = keyof typeof Kinds;

/** Highest first: the index is the order of preemption. */
export const Priorities = {
  production: 'critical',
  high: 'urgent',
  normal: 'standard',
  low: 'idle',
} as const;
export type Priority = keyof typeof Priorities;

export const Ops = { start: 'run', stop: 'kill', forget: 'forget' } as const;

export const JobStates = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
} as const;
export type JobState = keyof typeof JobStates;

export const TaskStates = {
  fetching: 'pulling',
  waiting: 'gathering',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
} as const;
export type TaskState = keyof typeof TaskStates;

export const Causes = {
  done: 'done',
  stopped: 'halted',
  peers: 'peers',
  alone: 'incomplete',
  error: 'error',
  noRoom: 'full',
  busy: 'busy',
  unknown: 'unknown',
} as const;
export type Cause = keyof typeof Causes;

export const MachineStates = { booting: 'starting', running: 'running', failed: 'failed' } as const;
export type MachineState = keyof typeof MachineStates;

export const Paths = {
  jobs: '/v1/jobs',
  job: '/v1/jobs/:id',
  cancel: '/v1/jobs/:id/abort',
  cancelSuffix: '/abort',
  health: '/up',
  heartbeat: '/v1/report',
  commands: '/orders',
  inspect: '/inspect',
  types: '/catalog',
  machines: '/rentals',
  machinesReturn: '/rentals/return',
  keys: '/keys',
  txn: '/multi',
  leases: '/leases',
  renewSuffix: '/renew',
  changes: '/changes',
} as const;

/** Fields of pipelines, which are an extension of the users' API by this project; their wire names are the usual terms. */
export const P = {
  shapes: 'shapes',
  shape: 'shape',
  steps: 'steps',
  name: 'name',
  needs: 'needs',
  when: 'when',
  retries: 'retries',
  backoffS: 'backoff_s',
  dueMs: 'due_ms',
  startMs: 'start_ms',
  missed: 'missed',
  lateS: 'late_s',
  onCancel: 'on_cancel',
  waitsFor: 'waits_for',
  why: 'why',
  faults: 'faults',
  more: 'more',
} as const;

export const PipelinePaths = {
  all: '/v1/pipelines',
  check: '/v1/pipelines/check',
  one: '/v1/pipelines/:id',
  from: '/v1/pipelines/:id/from/:from',
  cancel: '/v1/pipelines/:id/abort',
  retry: '/v1/pipelines/:id/retry/:job',
} as const;

export const CONTENT_TYPE = 'application/cbor';

/** Names in the settings file that the platform provides. */
export const S = {
  node: 'member',
  zone: 'domain',
  listen: 'bind',
  peerListen: 'mesh_addr',
  peers: 'members',
  peerAddress: 'endpoint',
  services: 'services',
  cloud: 'cloud',
  state: 'state',
  params: 'params',
  nodes: 'nodes',
  zones: 'zones',
  clockOffMs: 'time_bound_ms',
  teams: 'teams',
  objectives: 'objectives',
  workers: 'workers',
  limits: 'quota',
  cpuShare: 'core_share',
  memoryMb: 'memory_mb',
  maxConnections: 'max_connections',
} as const;

export const invert = <K extends string>(table: Readonly<Record<K, string>>): ReadonlyMap<string, K> =>
  new Map(Object.entries<string>(table).map(([name, wireName]) => [wireName, name as K]));
