import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import {
  fitsStoreValue,
  cachedImagesSchema,
  Keys,
  packMachineNames,
  seal,
  unpackMachineNames,
  type PackedNames,
  unseal,
} from '../src/storage/records.js';
import type { Machine } from '../src/cluster/cluster-state.js';
import { MAX_CONNECTIONS } from '../src/appliance/index.js';
import { imageChanges } from '../src/coordination/completion/cached-image-writer.js';
import { Nonces } from '../src/keys/index.js';
import { Watches } from '../src/state/index.js';
import { systemClock } from '../src/transport/clock.js';
import type { StoreClient } from '../src/storage/store-client.js';
import {
  readPreProvisionedMachines,
  writePreProvisionedMachines,
} from '../src/coordination/fleet/pre-provisioned-machines-record.js';
import { jsonByteLength } from '../src/protocol/codec.js';
import {
  NO_REVISION,
  type Address,
  type AgentEpoch,
  type Attempt,
  type HeartbeatSequence,
  type ImageName,
  type JobId,
  type MachineId,
  type ModRevision,
  type Revision,
  type TaskIndex,
  type Term,
  type TypeName,
  type ZoneName,
} from '../src/protocol/ids.js';
import type { Change, Condition } from '../src/protocol/state.js';
import { HeartbeatReader } from '../src/protocol/heartbeat-reader.js';
import { encodeHeartbeat } from '../src/protocol/heartbeats.js';
import { MAX_RETAINED_EXITS } from '../src/coordination/scheduling/eligibility.js';
import { ok } from '../src/transport/result.js';

/** Both operators run about this many machines: no fixed limit of the program may be lower. */
const MACHINES = 4000;
/** The protocol's limit for request bodies. */
const MAX_BODY_BYTES = 64 * 1024;
/** Tasks of half a processor each on the 96 processors of the protocol page's example. */
const TASKS_OF_A_FULL_MACHINE = 192;
const LIMITS = { valueKb: 8, txnOps: 6 };
const LEADER_MOD_REVISION = 7n as ModRevision;

/** In-memory state service with its limits, as far as the list of pre-provisioned machines uses it. */
function fakeStore(): Pick<StoreClient, 'get' | 'range' | 'txn'> & {
  readonly values: Map<string, unknown>;
  leaderModRevision: ModRevision;
} {
  const leader = { modRevision: LEADER_MOD_REVISION };
  const values = new Map<string, unknown>();
  const entries = (prefix: string) =>
    [...values].flatMap(([key, value]) =>
      key.startsWith(prefix) ? [{ key: key as never, value, modRevision: 1n as ModRevision }] : [],
    );
  const modRevisionOf = (condition: Condition): ModRevision =>
    condition.key === Keys.leader
      ? leader.modRevision
      : values.has(condition.key)
        ? (1n as ModRevision)
        : NO_REVISION;
  return {
    values,
    get leaderModRevision() {
      return leader.modRevision;
    },
    set leaderModRevision(modRevision) {
      leader.modRevision = modRevision;
    },
    get: (key) => Promise.resolve(ok(entries(key).find((e) => e.key === key))),
    range: (prefix) => Promise.resolve(ok({ entries: entries(prefix), revision: 1n as Revision })),
    txn: (conditions, changes: readonly Change[]) => {
      assert.ok(changes.length <= LIMITS.txnOps);
      assert.ok(jsonByteLength(changes) <= 64 * 1024);
      const failed = conditions.filter((c) => modRevisionOf(c) !== c.modRevision).map((c) => c.key);
      if (failed.length > 0) return Promise.resolve(ok({ kind: 'conflict' as const, failed }));
      for (const change of changes) {
        assert.ok(change.op === 'put' && jsonByteLength(change.value) <= LIMITS.valueKb * 1024);
        values.set(change.key, change.value);
      }
      return Promise.resolve(ok({ kind: 'committed' as const, revision: 1n as Revision }));
    },
  };
}

const name = (i: number): string => `m-${String(i).padStart(6, '0')}`;
const consecutive = Array.from({ length: MACHINES }, (_, i) => name(i));
const scattered = Array.from({ length: MACHINES }, (_, i) => name(i * 17));
const unnumbered = Array.from({ length: MACHINES }, (_, i) => `rack-${i}-${'abcdefgh'[i % 8]!}.site`);

test('all of 4,000 pre-provisioned machines are recorded, whatever their names', async () => {
  for (const names of [consecutive, scattered, unnumbered, [...scattered, ...unnumbered]]) {
    const store = fakeStore();
    assert.ok(await writePreProvisionedMachines(store, names, LEADER_MOD_REVISION, LIMITS));
    const read = await readPreProvisionedMachines(store);
    assert.ok(read.ok);
    assert.deepEqual(read.value?.sort(), [...names].sort());
  }
});

test('names that fit one value are stored in the form of the first version', async () => {
  const store = fakeStore();
  assert.ok(await writePreProvisionedMachines(store, consecutive, LEADER_MOD_REVISION, LIMITS));
  assert.ok(fitsStoreValue(seal(packMachineNames(consecutive)), LIMITS.valueKb));
  assert.deepEqual([...store.values], [[Keys.preProvisionedMachines, seal(packMachineNames(consecutive))]]);
});

test('a reader of the first version reads part of a list that does not fit one value', async () => {
  const store = fakeStore();
  assert.ok(await writePreProvisionedMachines(store, scattered, LEADER_MOD_REVISION, LIMITS));
  const { body } = store.values.get(Keys.preProvisionedMachines) as { body: PackedNames };
  const part = unpackMachineNames({ machines: body.machines, others: body.others });
  assert.ok(part.length > 0 && part.every((n) => scattered.includes(n)));
});

test('a partially stored list counts as none and is stored again', async () => {
  const store = fakeStore();
  let remainingTransactions = 2;
  const failingStore: Pick<StoreClient, 'txn'> = {
    txn: (...args) =>
      remainingTransactions-- > 0
        ? store.txn(...args)
        : Promise.resolve(ok({ kind: 'conflict' as const, failed: [] })),
  };
  assert.ok(!(await writePreProvisionedMachines(failingStore, unnumbered, LEADER_MOD_REVISION, LIMITS)));
  const partialList = await readPreProvisionedMachines(store);
  assert.ok(partialList.ok && partialList.value === undefined);
  assert.ok(await writePreProvisionedMachines(store, scattered, LEADER_MOD_REVISION, LIMITS));
  const read = await readPreProvisionedMachines(store);
  assert.ok(read.ok && read.value?.length === MACHINES);
  // The list is written once: neither another leader nor another list replaces it.
  assert.ok(!(await writePreProvisionedMachines(store, consecutive, LEADER_MOD_REVISION, LIMITS)));
  const nextLeader = 8n as ModRevision;
  assert.ok(!(await writePreProvisionedMachines(fakeStore(), consecutive, nextLeader, LIMITS)));
  store.leaderModRevision = nextLeader;
  assert.ok(!(await writePreProvisionedMachines(store, consecutive, nextLeader, LIMITS)));
  const unchanged = await readPreProvisionedMachines(store);
  assert.deepEqual(unchanged, read);
});

test('a damaged or missing part makes the list unreadable, not shorter', async () => {
  const store = fakeStore();
  assert.ok(await writePreProvisionedMachines(store, scattered, LEADER_MOD_REVISION, LIMITS));
  store.values.delete('fleet/standing/001');
  const read = await readPreProvisionedMachines(store);
  assert.ok(!read.ok && read.error.kind === 'unreadable' && read.error.reason.startsWith('part 1'));
});

test('tasks of 4,000 full machines are decoded once, however many heartbeats repeat them', () => {
  const reader = new HeartbeatReader();
  const perMachine = 20;
  const heartbeatOf = (machine: number, sequence: number): Uint8Array =>
    encodeHeartbeat({
      machine: name(machine) as MachineId,
      address: '10.0.0.1:80' as Address,
      type: 'large' as TypeName,
      zone: 'z1' as ZoneName,
      spot: false,
      epoch: 1n as AgentEpoch,
      sequence: BigInt(sequence) as HeartbeatSequence,
      token: 1n as Term,
      noticeS: null,
      tasks: Array.from({ length: perMachine }, (_, i) => ({
        job: `req-${String(machine).padStart(6, '0')}` as JobId,
        index: i as TaskIndex,
        attempt: 1n as Attempt,
        state: 'running',
        saved: false,
      })),
    });
  for (let seq = 1; seq <= 3; seq++)
    for (let machine = 0; machine < MACHINES; machine++) assert.ok(reader.read(heartbeatOf(machine, seq)).ok);
  assert.equal(reader.fallbackCount, 0);
  assert.equal(reader.decodedTaskCount, MACHINES * perMachine);
});

test('a full machine with all the exits that it may retain still sends a heartbeat within the limit', () => {
  const tasks = Array.from({ length: MAX_RETAINED_EXITS + TASKS_OF_A_FULL_MACHINE }, (_, i) => ({
    job: `req-${String(i).padStart(6, '0')}` as JobId,
    index: 99_999 as TaskIndex,
    attempt: ((1n << 40n) + BigInt(i)) as Attempt,
    state: 'exited' as const,
    cause: 'incomplete' as never,
    saved: true,
  }));
  const heartbeat = encodeHeartbeat({
    machine: name(MACHINES - 1) as MachineId,
    address: '10.255.255.255:65535' as Address,
    type: 'large' as TypeName,
    zone: 'z1' as ZoneName,
    spot: true,
    epoch: 1n as AgentEpoch,
    sequence: (1n << 40n) as HeartbeatSequence,
    token: (1n << 40n) as Term,
    noticeS: 30,
    tasks,
  });
  assert.ok(heartbeat.length <= MAX_BODY_BYTES, `${heartbeat.length} bytes`);
});

test('the records of cached images hold all six images of each of 4,000 machines', () => {
  const cachedImages: Machine['cachedImages'] = new Map(
    Array.from({ length: 6 }, (_, i) => [`registry/image-${i}` as ImageName, 4]),
  );
  const machines = consecutive.map((id) => ({ id, cachedImages }) as Machine);
  let recordedImages = 0;
  for (const change of imageChanges(machines, LIMITS)) {
    assert.ok(change.op === 'put' && fitsStoreValue(change.value as never, LIMITS.valueKb));
    const record = unseal(cachedImagesSchema, change.value);
    assert.ok(record.ok);
    for (const image of record.value.images) recordedImages += image.on.length;
  }
  assert.equal(recordedImages, 6 * MACHINES);
});

test('signed heartbeats of 4,000 machines, one every two seconds each, are all accepted', () => {
  const nonces = new Nonces(systemClock);
  const perWindow = 120 / 2;
  let refused = 0;
  for (let i = 0; i < MACHINES * perWindow; i++) if (!nonces.take(`key ${i}`, systemClock.wall())) refused++;
  assert.equal(refused, 0);
  assert.ok(!nonces.take('key 0', systemClock.wall()), 'a repeat is refused');
});

test('one watch of each of 4,000 controllers may wait, but not an unlimited number', async () => {
  const watches = new Watches(systemClock);
  const waiting: Promise<void>[] = [];
  const openWatches = (count: number): void => {
    for (let i = 0; i < count; i++) waiting.push(watches.next('job/', 60_000));
  };
  openWatches(MACHINES);
  assert.ok(!watches.full);
  openWatches(2 * MACHINES);
  assert.ok(watches.full);
  watches.wakeAll();
  await Promise.all(waiting);
});

test('the servers of an appliance accept connections of the controller and the agent of each of 4,000 machines', () => {
  assert.ok(MAX_CONNECTIONS >= 2 * MACHINES);
});
