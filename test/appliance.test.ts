import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import fc from 'fast-check';
import { DescriptionPaths } from '../src/protocol/descriptions.js';
import { encode } from '../src/protocol/codec.js';
import { CONTENT_TYPE, F, Paths } from '../src/protocol/wire.js';
import { netHttpClient } from '../src/transport/http-client.js';
import { seededRandom } from '../src/transport/random.js';
import {
  cut,
  cutOften,
  job,
  makeSite,
  pause,
  show,
  startProcess,
  submit,
  untilUp,
  type SiteFolder,
} from './cuts/cuts.js';

/** A whole site with real processes, on the loopback. */
const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));
const http = netHttpClient(8, CONTENT_TYPE);
const run = (...args: string[]) =>
  spawnSync(process.execPath, [MAIN, ...args], { encoding: 'utf8', timeout: 40_000 });

const until = async (what: string, is: () => Promise<boolean>, ms = 20_000): Promise<void> => {
  for (const from = performance.now(); !(await is()); await pause(100))
    assert.ok(performance.now() - from < ms, `${what}: not within ${ms} ms`);
};
const isDone = async (s: SiteFolder, id: string): Promise<boolean> => {
  const a = await show(s, id);
  return typeof a !== 'number' && a.state === 'done';
};
const running = async (s: SiteFolder, id: string): Promise<number> => {
  const a = await show(s, id);
  return typeof a === 'number' ? -1 : (a.running ?? 0);
};

test('the session of a newcomer: init, up, jobs, the power goes, and all is there again', async () => {
  const s = makeSite(18700);
  const more = join(dirname(s.file), 'other', 'site.sexp');
  assert.equal(run('appliance', 'init', '--site', more).status, 0);
  assert.ok(readFileSync(more, 'utf8').includes('(team main)'));
  assert.notEqual(run('appliance', 'init', '--site', more).status, 0, 'nothing is written over');
  const up = run('appliance', 'up', '--site', s.file);
  assert.equal(up.status, 0, up.stderr);
  assert.notEqual(run('appliance', 'up', '--site', s.file).status, 0, 'one at a time');
  // A reminder service, and an array, sent as a person would.
  const file = join(dirname(s.file), 'job.json');
  const reminders = {
    ...job(s, 1, 'daemon', 2, 1000),
    argv: ['/bin/sh', '-c', 'while :; do echo remember; sleep 0.2; done'],
  };
  writeFileSync(file, JSON.stringify(reminders));
  assert.match(run('job', 'submit', file, '--at', s.address).stdout, /req-000001: queued/);
  writeFileSync(file, JSON.stringify(job(s, 2, 'array', 5, 0.3)));
  assert.equal(run('job', 'submit', file, '--at', s.address).status, 0);
  await until('the array is done', () => isDone(s, 'req-000002'));
  await until('reminders run', async () => (await running(s, 'req-000001')) === 2);
  assert.match(run('appliance', 'log', 'req-000001/0', '--site', s.file).stdout, /remember/);
  const life = JSON.parse(readFileSync(join(s.data, 'life.json'), 'utf8')) as { pid: number };
  cut(s, { pid: life.pid } as never, true);
  await pause(200);
  const status = run('appliance', 'status', '--site', s.file);
  assert.match(status.stdout, /it is down; its state is good/, status.stderr);
  assert.equal(run('appliance', 'up', '--site', s.file).status, 0);
  assert.ok(await isDone(s, 'req-000002'), 'done stays done');
  await until('reminders run again', async () => (await running(s, 'req-000001')) === 2);
  assert.equal(run('job', 'cancel', 'req-000001', '--at', s.address).status, 0);
  await until('no process is left', async () =>
    Promise.resolve(!existsSync(join(s.data, 'processes', 'x')) && (await running(s, 'req-000001')) <= 0),
  );
  assert.match(run('appliance', 'down', '--site', s.file).stdout, /it is down/);
  assert.equal(existsSync(join(s.shared, 'beside')), false);
});

test('power cuts under load: nothing is forgotten, nothing runs beside its earlier self', async () => {
  const r = await cutOften(3, 18720, seededRandom(5));
  assert.deepEqual(r.faults, []);
  assert.ok(r.accepted >= 8 && r.starts >= 8, JSON.stringify(r));
  assert.ok(Math.max(...r.whole) < 60_000);
});

test('descriptions are kept, never changed, and refused when they make no sense', async () => {
  const s = makeSite(18740);
  const p = startProcess(s);
  await untilUp(s);
  const value = job(s, 7, 'array', 1, 0.1);
  assert.equal(await submit(s, value), 201);
  assert.equal(await submit(s, value), 200, 'a repeat');
  assert.equal(await submit(s, { ...value, argv: ['/bin/false'] }), 409);
  for (const bad of [
    { argv: [] },
    { argv: 'ls' },
    { env: { 'a b': '1' } },
    { argv: ['a\0b'] },
    { env: { A: 5 } },
  ])
    assert.equal(await submit(s, { ...value, [F.id]: 'req-000008', ...bad }), 400, JSON.stringify(bad));
  assert.equal(await submit(s, { ...value, [F.id]: 'req-000008', env: { A: 'x'.repeat(20_000) } }), 400);
  const get = await http.call(
    s.address,
    'GET',
    DescriptionPaths.one.replace(':id', 'req-000007'),
    undefined,
    2000,
  );
  assert.ok(get.ok && get.value.status === 200);
  const none = await http.call(
    s.address,
    'GET',
    DescriptionPaths.one.replace(':id', 'req-000099'),
    undefined,
    2000,
  );
  assert.ok(none.ok && none.value.status === 404);
  // A job that nobody described is none that a machine could run: it waits, and its user can see why.
  const plain = await http.call(
    s.address,
    'POST',
    Paths.jobs,
    encode({ ...value, [F.id]: 'req-000009' }),
    2000,
  );
  assert.ok(plain.ok && plain.value.status === 201);
  await pause(2500);
  const waits = await show(s, 'req-000009');
  assert.ok(typeof waits !== 'number' && waits.state !== 'done');
  // Whatever is sent to any of its parts, it stays up.
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(0, 2, 3, 4),
      fc.constantFrom(
        Paths.jobs,
        DescriptionPaths.all,
        Paths.report,
        Paths.orders,
        Paths.machines,
        Paths.machinesReturn,
        '/claim',
        '/release',
        '/recall',
        '/own/test/drain',
        '/own/x/drain',
      ),
      fc.oneof(
        fc.uint8Array({ maxLength: 100 }),
        fc
          .dictionary(
            fc.constantFrom('machine', 'within_s', 'argv', F.id, F.machines, F.token),
            fc.oneof(fc.nat(), fc.string(), fc.constant(null)),
          )
          .map((o) => encode({ ...o, machine: 'nobody' })),
      ),
      async (part, path, body) => {
        if (path === '/own/test/drain') return;
        const r = await http.call(`127.0.0.1:${18740 + part}`, 'POST', path, body, 6000);
        assert.ok(r.ok, path);
        assert.ok(r.value.status >= 200 && r.value.status !== 500, `${path}: ${r.value.status}`);
      },
    ),
    { numRuns: 150, seed: 2 },
  );
  assert.ok(await isDone(s, 'req-000007'));
  process.kill(p.pid!, 'SIGTERM');
});

test('a drained machine lets its work go and takes none until it is wanted again', async () => {
  const s = makeSite(18760);
  const p = startProcess(s);
  await untilUp(s);
  assert.equal(await submit(s, job(s, 1, 'daemon', 1, 1000)), 201);
  await until('it runs', async () => (await running(s, 'req-000001')) === 1);
  const own = (verb: string) =>
    http.call(
      '127.0.0.1:18763',
      'POST',
      `/own/test/${verb}`,
      verb === 'drain' ? encode({ within_s: 3 }) : undefined,
      6000,
    );
  const told = await own('drain');
  assert.ok(told.ok && told.value.status === 200);
  await until('it is gone', async () => (await running(s, 'req-000001')) === 0);
  await pause(4000);
  assert.equal(await running(s, 'req-000001'), 0);
  const back = await own('undrain');
  assert.ok(back.ok && back.value.status === 200);
  await until('it runs again', async () => (await running(s, 'req-000001')) === 1, 40_000);
  process.kill(p.pid!, 'SIGTERM');
});

test('a damaged state is refused, with what was found', async () => {
  const s = makeSite(18780);
  const p = startProcess(s);
  await untilUp(s);
  for (let i = 1; i < 20; i++) await submit(s, job(s, i, 'array', 1, 0.1));
  cut(s, p, true);
  await pause(100);
  const log = spawnSync('/bin/sh', ['-c', `ls ${join(s.data, 'state')}/*.log`], { encoding: 'utf8' })
    .stdout.trim()
    .split('\n')
    .pop()!;
  const bytes = readFileSync(log);
  bytes[Math.floor(bytes.length / 3)]! ^= 0xff;
  writeFileSync(log, bytes);
  const up = run('appliance', 'up', '--site', s.file);
  assert.notEqual(up.status, 0);
  assert.match(up.stderr, /damaged at byte/);
  const status = run('appliance', 'status', '--site', s.file);
  assert.match(status.stderr, /harmed/);
});
