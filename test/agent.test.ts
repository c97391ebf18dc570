import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Images, Processes, Tasks } from '../src/agent/index.js';
import { readDurableFile, writeFileDurably } from '../src/transport/durable-file.js';
import * as z from 'zod';
import type { Description } from '../src/protocol/descriptions.js';
import { parseDescription } from '../src/protocol/descriptions.js';
import type { Attempt, JobId, TaskIndex } from '../src/protocol/ids.js';
import type { Command } from '../src/protocol/heartbeats.js';
import { Outputs } from '../src/agent/index.js';
import { latestOutput, parseSite, template } from '../src/appliance/index.js';
import { ok } from '../src/transport/result.js';
import { systemClock } from '../src/transport/clock.js';
import { createHttpClient } from '../src/transport/http-client.js';
import { silentLog } from '../src/transport/log.js';
import { serveState } from './state-server.js';
import { job, makeSite, pause } from './cuts/cuts.js';

const folder = (): string => mkdtempSync(join(tmpdir(), 'gorseyoke-agent-'));
const JOB = 'req-000001' as JobId;

const until = async (what: string, condition: () => boolean, ms = 8000): Promise<void> => {
  const startMs = performance.now();
  while (!condition()) {
    assert.ok(performance.now() - startMs < ms, `${what}: not within ${ms} ms`);
    await pause(20);
  }
};

/** Whether any process of the group runs; zombies don't count. */
const isGroupRunning = (pid: number): boolean => {
  const ps = spawnSync('/bin/sh', [
    '-c',
    `cat /proc/[0-9]*/stat 2>/dev/null | sed 's/.*) //' | awk '$3==${pid} && $1!="Z"'`,
  ]);
  return ps.stdout.toString().trim() !== '';
};

interface Fixture {
  readonly tasks: Tasks;
  readonly processes: Processes;
  readonly folder: string;
  run(command: Partial<Command> & { op: Command['op'] }): void;
  state(index?: number): string;
}

function createFixture(
  argv: string[],
  fields: Record<string, unknown> = {},
  state = '127.0.0.1:1',
  root = folder(),
): Fixture {
  const described = parseDescription({ ...job(makeSite(1), 1, 'array', 8, 1), ...fields, argv, env: {} });
  assert.ok(described.ok, described.ok ? '' : described.error);
  const processes = new Processes(join(root, 'processes'), silentLog);
  const tasks = new Tasks({
    clock: systemClock,
    log: silentLog,
    http: createHttpClient(8, 'application/cbor'),
    storeAddress: state,
    gangWaitS: 3,
    gangPeerS: 2,
    capacity: { cpus: 4, gpus: 2, memoryGb: 4 },
    host: '127.0.0.1',
    describe: (id) => Promise.resolve(ok<Description | undefined>(id === JOB ? described.value : undefined)),
    processes,
    images: new Images(join(root, 'images'), 3),
    outputs: new Outputs(join(root, 'outputs'), { mb: 0.01, files: 2 }),
    workFolder: join(root, 'work'),
    savedFolder: join(root, 'saved'),
    niceness: 3,
    path: process.env['PATH'] ?? '',
    onChange: () => undefined,
  });
  return {
    tasks,
    processes,
    folder: root,
    run: (command) =>
      tasks.execute({
        job: JOB,
        index: 0 as TaskIndex,
        attempt: 1n as Attempt,
        graceS: 0,
        ...command,
      } as Command),
    state: (index = 0) => {
      const t = tasks.reported().find((r) => Number(r.index) === index);
      return t ? `${t.state}${t.cause ? ` ${t.cause}` : ''}${t.saved ? ' saved' : ''}` : 'none';
    },
  };
}

test('a task runs its program with its index, and its output is kept', async () => {
  const fixture = createFixture([
    '/bin/sh',
    '-c',
    'echo "I am $GORSEYOKE_INDEX of $GORSEYOKE_TASKS"; echo oops >&2',
  ]);
  fixture.run({ op: 'start', index: 3 as TaskIndex });
  await until('done', () => fixture.state(3) === 'exited done');
  fixture.run({ op: 'start', index: 3 as TaskIndex });
  assert.equal(fixture.tasks.reported().length, 1, 'the same attempt starts once');
  await pause(100);
  const files = latestOutput(join(fixture.folder, 'outputs'), 'req-000001/3');
  assert.ok(files.ok);
  assert.equal(files.value.map((f) => readFileSync(f, 'utf8')).join(''), 'I am 3 of 8\noops\n');
  fixture.run({ op: 'forget', index: 3 as TaskIndex });
  assert.equal(fixture.state(3), 'none');
  assert.equal(fixture.processes.recordCount, 0);
});

test('a task that fails, is unknown, does not fit or is already running exits with that cause', async () => {
  const failing = createFixture(['/bin/sh', '-c', 'exit 3']);
  failing.run({ op: 'start' });
  await until('error', () => failing.state() === 'exited error');
  const missingProgram = createFixture(['/no/such/program']);
  missingProgram.run({ op: 'start' });
  await until('error', () => missingProgram.state() === 'exited error');
  missingProgram.run({ op: 'start', job: 'req-000009' as JobId, index: 1 as TaskIndex });
  await until('unknown', () => missingProgram.state(1) === 'exited unknown');
  missingProgram.run({ op: 'start', index: 99 as TaskIndex });
  await until('unknown', () => missingProgram.state(99) === 'exited unknown');
  const large = createFixture(['/bin/sleep', '5'], { vcpus: 3 });
  large.run({ op: 'start' });
  large.run({ op: 'start', index: 1 as TaskIndex });
  large.run({ op: 'start', attempt: 2n as Attempt });
  await until('full', () => large.state(1) === 'exited noRoom');
  assert.ok(large.tasks.reported().some((t) => t.cause === 'busy'));
  await large.tasks.endAll();
});

test('a start that is repeated has no effect on an attempt that ended and is remembered', async () => {
  const f = createFixture(['/bin/sh', '-c', 'exit 3']);
  f.run({ op: 'start' });
  await until('it fails', () => f.state() === 'exited error');
  f.run({ op: 'start' });
  assert.equal(f.state(), 'exited error');
  f.run({ op: 'forget' });
  assert.equal(f.state(), 'none');
});

test('a stop ends the whole process group, including background processes', async () => {
  const fixture = createFixture(['/bin/sh', '-c', 'sleep 100 & sleep 100 & wait']);
  fixture.run({ op: 'start' });
  await until('running', () => fixture.state() === 'running');
  const pid = fixture.tasks.list()[0]!.pid!;
  assert.ok(isGroupRunning(pid));
  fixture.run({ op: 'stop' });
  await until('stopped', () => fixture.state() === 'exited stopped');
  assert.ok(!isGroupRunning(pid));
  assert.equal(fixture.processes.recordCount, 0);
});

test('the background processes of a program end with it', async () => {
  const fixture = createFixture(['/bin/sh', '-c', 'sleep 100 & exit 0']);
  fixture.run({ op: 'start' });
  await until('running', () => fixture.state() !== 'fetching');
  await until('done', () => fixture.state() === 'exited done');
  assert.equal(fixture.processes.recordCount, 0);
});

test('a program with enough grace may save its progress; otherwise it is killed', async () => {
  const saving = [
    '/bin/sh',
    '-c',
    'trap "echo 42 > $GORSEYOKE_SAVED/at; exit 75" TERM; while :; do sleep 0.1; done',
  ];
  const fixture = createFixture(saving, { rest_s: 10, bale_s: 1 });
  fixture.run({ op: 'start' });
  await until('running', () => fixture.state() === 'running');
  await pause(300);
  fixture.run({ op: 'stop', graceS: 5 });
  assert.equal(fixture.state(), 'saving');
  await until('saved', () => fixture.state() === 'exited stopped saved');
  assert.equal(readFileSync(join(fixture.folder, 'saved', JOB, '0', 'at'), 'utf8').trim(), '42');
  const ignoring = createFixture(['/bin/sh', '-c', 'trap "" TERM; while :; do sleep 0.1; done'], {
    rest_s: 10,
    bale_s: 0.5,
  });
  ignoring.run({ op: 'start' });
  await until('running', () => ignoring.state() === 'running');
  await pause(200);
  ignoring.run({ op: 'stop', graceS: 0.6 });
  await until('stopped', () => ignoring.state() === 'exited stopped');
  const shortGrace = createFixture(saving, { rest_s: 10, bale_s: 3 });
  shortGrace.run({ op: 'start' });
  await until('running', () => shortGrace.state() === 'running');
  shortGrace.run({ op: 'stop', graceS: 1 });
  await until('stopped', () => shortGrace.state() === 'exited stopped');
});

test('each GPU is assigned to one task at a time and is free again when the task ends', async () => {
  const fixture = createFixture(['/bin/sh', '-c', 'echo "cards $GORSEYOKE_CARDS"; sleep 0.4'], {
    cards: 1,
    vcpus: 0.1,
  });
  fixture.run({ op: 'start' });
  fixture.run({ op: 'start', index: 1 as TaskIndex });
  fixture.run({ op: 'start', index: 2 as TaskIndex });
  await until('no third GPU', () => fixture.state(2) === 'exited noRoom');
  await until('done', () => fixture.state(0) === 'exited done' && fixture.state(1) === 'exited done');
  fixture.run({ op: 'start', index: 3 as TaskIndex });
  await until('again', () => fixture.state(3) === 'exited done');
  await pause(100);
  const printed = [0, 1, 3].map((i) => {
    const files = latestOutput(join(fixture.folder, 'outputs'), `req-000001/${i}`);
    return files.ok
      ? files.value
          .map((f) => readFileSync(f, 'utf8'))
          .join('')
          .trim()
      : '';
  });
  assert.deepEqual(printed.slice(0, 2).sort(), ['cards 0', 'cards 1']);
  assert.match(printed[2]!, /^cards [01]$/);
});

test('the output that is kept of a task is limited in size', async () => {
  const fixture = createFixture([
    '/bin/sh',
    '-c',
    'i=0; while [ $i -lt 4000 ]; do echo "line $i of many many lines"; i=$((i+1)); done',
  ]);
  fixture.run({ op: 'start' });
  await until('done', () => fixture.state() === 'exited done');
  await pause(300);
  const path = fixture.tasks.list()[0]!.folder;
  let size = 0;
  for (const f of readdirSync(path)) size += readFileSync(join(path, f)).length;
  assert.ok(size > 0 && size < 40_000, `${size} bytes of about 100,000 are kept`);
});

test('images are fetched once, the unused are evicted, and an incomplete fetch is removed', async () => {
  const root = folder();
  const source = join(root, 'source');
  mkdirSync(source);
  writeFileSync(join(source, 'tool'), 'v1');
  mkdirSync(join(root, 'cache', 'half.part'), { recursive: true });
  const images = new Images(join(root, 'cache'), 2);
  assert.deepEqual(readdirSync(join(root, 'cache')), []);
  const [first, second] = await Promise.all([images.get('one', source), images.get('one', source)]);
  assert.ok(first.ok && second.ok && first.value === second.value);
  assert.equal(readFileSync(join(first.value!, 'tool'), 'utf8'), 'v1');
  assert.equal(spawnSync('tar', ['-cf', join(root, 'x.tar'), '-C', source, 'tool']).status, 0);
  const tar = await images.get('two', join(root, 'x.tar'));
  assert.ok(tar.ok && existsSync(join(tar.value!, 'tool')));
  images.release(tar.value);
  assert.ok((await images.get('three', source)).ok);
  assert.ok(existsSync(first.value!), 'an image in use is kept');
  assert.ok(!existsSync(tar.value!), 'the unused image is evicted');
  const missing = await images.get('four', join(root, 'nothing'));
  assert.ok(!missing.ok);
});

// ---- restarts of an agent ---------------------------------------------------------------------------------

test('when the agent is killed, its tasks end at once by themselves', async () => {
  const root = folder();
  const script = fileURLToPath(new URL('./measure/agent-victim.js', import.meta.url));
  const child = spawn(process.execPath, [script, root], { stdio: ['ignore', 'pipe', 'inherit'] });
  const pid = await new Promise<number>((resolve) =>
    child.stdout.once('data', (d: Buffer) => resolve(Number(d.toString()))),
  );
  assert.ok(isGroupRunning(pid));
  child.kill('SIGKILL');
  await until('the group is gone', () => !isGroupRunning(pid), 3000);
  // The record of the group is left: the next agent process finds no process of it and removes the record.
  const next = new Processes(root, silentLog);
  assert.equal(next.recordCount, 1);
  assert.equal(await next.endOrphans(), 0);
  assert.equal(next.recordCount, 0);
});

test('the tasks of a hanging agent end when the lease that it last wrote expires', async () => {
  const fixture = createFixture(['/bin/sh', '-c', 'sleep 100 & wait']);
  fixture.processes.writeLease(60_000);
  fixture.run({ op: 'start' });
  await until('running', () => fixture.state() === 'running');
  const pid = fixture.tasks.list()[0]!.pid!;
  await pause(2600);
  assert.ok(isGroupRunning(pid), 'the group runs while the lease is valid');
  fixture.processes.writeLease(0);
  await until('the group has ended itself', () => !isGroupRunning(pid), 6000);
  await until('a running agent notices the end of the group', () => fixture.state() === 'exited error');
});

test('process groups of an earlier agent process are ended; a reused process id is left alone', async () => {
  const root = folder();
  const orphan = spawn('/bin/sleep', ['100'], { detached: true, stdio: 'ignore' });
  const unrelated = spawn('/bin/sleep', ['100'], { detached: true, stdio: 'ignore' });
  const stat = readFileSync(`/proc/${orphan.pid}/stat`, 'utf8');
  const started = stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19];
  const boot = readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
  const processes = new Processes(root, silentLog);
  writeFileSync(join(root, 'mine.json'), JSON.stringify({ pid: orphan.pid, started, boot }));
  writeFileSync(join(root, 'other.json'), JSON.stringify({ pid: unrelated.pid, started: '1', boot }));
  writeFileSync(
    join(root, 'restart.json'),
    JSON.stringify({ pid: unrelated.pid, started, boot: 'before the restart' }),
  );
  writeFileSync(join(root, 'torn.json'), '{"pid":');
  assert.equal(await processes.endOrphans(), 1);
  assert.ok(!isGroupRunning(orphan.pid!));
  assert.ok(isGroupRunning(unrelated.pid!));
  process.kill(unrelated.pid!, 'SIGKILL');
});

test('a durable file keeps its old content when a write is interrupted; a damaged file is an error', () => {
  const file = join(folder(), 'memory.json');
  const schema = z.object({ n: z.number() });
  assert.deepEqual(readDurableFile(file, schema), { ok: true, value: undefined });
  writeFileDurably(file, JSON.stringify({ n: 1 }));
  writeFileSync(`${file}.part`, '{"n":');
  assert.deepEqual(readDurableFile(file, schema), { ok: true, value: { n: 1 } });
  writeFileSync(file, '{"n":"one"}');
  assert.ok(!readDurableFile(file, schema).ok, 'a damaged file is an error');
});

// ---- gangs -------------------------------------------------------------------------------------------------

test('the tasks of a gang start together, complete together, and fail together', async () => {
  const server = await serveState(folder());
  const state = server.address;
  const gang = { gait: 'ensemble', furrows: 2, vcpus: 1 };
  const startPair = (argv: string[], attempt: bigint): [Fixture, Fixture] => {
    const pair: [Fixture, Fixture] = [createFixture(argv, gang, state), createFixture(argv, gang, state)];
    pair.forEach((member, index) =>
      member.run({ op: 'start', index: index as TaskIndex, attempt: attempt as Attempt }),
    );
    return pair;
  };
  const [first, second] = startPair(['/bin/sh', '-c', 'echo "$GORSEYOKE_PEERS"; sleep 0.5'], 1n);
  await until('both done', () => first.state(0) === 'exited done' && second.state(1) === 'exited done');
  await pause(100);
  const printed = latestOutput(join(first.folder, 'outputs'), 'req-000001/0');
  assert.ok(printed.ok && readFileSync(printed.value[0]!, 'utf8').trim() === '127.0.0.1,127.0.0.1');
  // A single member of a gang waits without starting its program, then exits.
  const alone = createFixture(['/bin/true'], gang, state);
  alone.run({ op: 'start', attempt: 2n as Attempt });
  await until('waits', () => alone.state() === 'waiting');
  await until('exits without its peers', () => alone.state() === 'exited alone');
  // When a member is gone, the others exit too.
  const [stopped, remaining] = startPair(['/bin/sleep', '60'], 3n);
  await until('both are running', () => stopped.state(0) === 'running' && remaining.state(1) === 'running');
  stopped.run({ op: 'stop', attempt: 3n as Attempt });
  await until('the other notices', () => remaining.state(1) === 'exited peers');
  await server.close();
});

// ---- settings ------------------------------------------------------------------------------------------------

test("all errors of a site's settings are listed with their lines; the template is valid", async () => {
  const good = await parseSite(template('data', 4, 8));
  assert.ok(good.ok);
  assert.equal(good.value.nodes[0]!.cpus, 4);
  const bad = await parseSite(
    '(port 99999)\n(colour red) (port 1) (team a) (team a)\n(lease-s 3) (report-s 2) (cancel-s 4)',
  );
  assert.ok(!bad.ok);
  const all = bad.error.join('\n');
  for (const part of [
    'line 1',
    "unknown setting 'colour'",
    'twice',
    '(data',
    'lease-s must',
    'cancel-s must',
  ])
    assert.ok(all.includes(part), `${part} in ${all}`);
  assert.ok(!(await parseSite('(port')).ok);
});
