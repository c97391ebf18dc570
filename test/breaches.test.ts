import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/protocol/jobs.js';
import type { Attempt, JobId, TaskIndex, Term } from '../src/protocol/ids.js';
import { attemptOf, Keys, seal } from '../src/storage/records.js';
import type { Command } from '../src/protocol/heartbeats.js';
import { ok } from '../src/transport/result.js';
import { runScenario } from './simulator/scenario-runner.js';
import type { SimulatedCluster } from './simulator/simulated-cluster.js';

/** The stand-in must notice each kind of breach: here each is planted behind the controllers' backs. */
const BASE = `
team red 0 3
machine g4 a
machine g4 b
at 2 submit req-000001 red array tasks=2 run=30 zone=a gb=0
until 14
`;

const start = (job: string, index: number): Command => ({
  op: 'start',
  job: job as JobId,
  index: index as TaskIndex,
  attempt: 99n as Attempt,
});

/** The attempt of the tasks of the first plan. */
const FIRST_ATTEMPT = attemptOf(1n as Term, 1);

function onMachine(cluster: SimulatedCluster, id: string, command: Command): void {
  cluster.cloud.machines.get(id)!.agent!.execute(command);
}

const injectedFaults: readonly {
  rule: string;
  text?: string;
  inject: (cluster: SimulatedCluster) => void;
  at: number;
}[] = [
  { rule: 'ran_twice', at: 8, inject: (cluster) => onMachine(cluster, 'm-000001', start('req-000001', 0)) },
  { rule: 'wrong_place', at: 8, inject: (cluster) => onMachine(cluster, 'm-000001', start('req-000001', 1)) },
  {
    rule: 'quota',
    at: 8,
    text: 'at 3 submit req-000002 red array tasks=4 run=30 gb=0',
    inject: (cluster) => {
      for (let i = 0; i < 4; i++) onMachine(cluster, 'm-000001', start('req-000002', i));
    },
  },
  {
    rule: 'ran_cancelled',
    at: 9,
    text: 'at 5 cancel req-000001\nset cancel=3',
    inject: (cluster) => onMachine(cluster, 'm-000000', start('req-000001', 0)),
  },
  {
    rule: 'forgotten',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 404, undefined, 'poll'),
  },
  {
    rule: 'forgotten',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 422, undefined, 'submit'),
  },
  {
    rule: 'invented',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000777', 200, 'queued', 'poll'),
  },
  {
    rule: 'not_done',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 200, 'done', 'poll'),
  },
  {
    rule: 'went_back',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 200, 'cancelled', 'poll'),
  },
  {
    rule: 'went_back',
    at: 12,
    text: 'at 5 cancel req-000001',
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 200, 'running', 'poll'),
  },
  {
    rule: 'forgotten',
    at: 8,
    inject: (cluster) => cluster.checker.recordAnswer('req-000001', 404, undefined, 'cancel'),
  },
  // Known to one user, and to no other a millisecond later.
  {
    rule: 'forgotten',
    at: 3,
    inject: (cluster) => {
      cluster.checker.submitted({ ...cluster.jobs.get('req-000001')!.spec, id: 'req-000008' as JobId });
      cluster.checker.recordAnswer('req-000008', 201, 'queued', 'submit');
      cluster.time.after(1, () => cluster.checker.recordAnswer('req-000008', 404, undefined, 'poll'));
    },
  },
  {
    rule: 'accepted',
    at: 3,
    inject: (cluster) => {
      cluster.checker.submitted({
        ...cluster.jobs.get('req-000001')!.spec,
        id: 'req-000008' as JobId,
        zone: 'z' as never,
      });
      cluster.checker.recordAnswer('req-000008', 201, 'queued', 'submit');
    },
  },
  {
    rule: 'refused',
    at: 3,
    inject: (cluster) => {
      cluster.checker.submitted({ ...cluster.jobs.get('req-000001')!.spec, id: 'req-000008' as JobId });
      cluster.checker.recordAnswer('req-000008', 422, undefined, 'submit');
    },
  },
  {
    rule: 'accepted',
    at: 3,
    text: 'at 4 odd-requests 3',
    inject: (cluster) => {
      const { call } = cluster.users;
      cluster.users.call = (...a) =>
        call(...a).then((r) => (r.ok && r.value.status === 400 ? ok({ ...r.value, status: 201 }) : r));
    },
  },
  {
    rule: 'told_late',
    at: 3,
    text: 'until 100',
    inject: (cluster) => {
      const { checker, time } = cluster;
      checker.submitted({ ...cluster.jobs.get('req-000001')!.spec, id: 'req-000008' as JobId });
      checker.recordAnswer('req-000008', 201, 'queued', 'submit');
      for (const index of [0, 1]) checker.completed('req-000008', index);
      const ask = (): void => checker.recordAnswer('req-000008', 200, 'running', 'poll');
      for (const afterS of [40, 80, 91]) time.after(afterS * 1000, ask);
    },
  },
  {
    rule: 'forgotten_early',
    at: 8,
    inject: (cluster) => {
      const command = { ...start('req-000001', 0), attempt: FIRST_ATTEMPT };
      onMachine(cluster, 'm-000000', { ...command, op: 'stop', graceS: 0 });
      onMachine(cluster, 'm-000000', { ...command, op: 'forget' });
    },
  },
  {
    rule: 'started_again',
    at: 8,
    inject: (cluster) => {
      const command = { ...start('req-000001', 0), attempt: FIRST_ATTEMPT };
      onMachine(cluster, 'm-000000', { ...command, op: 'stop', graceS: 0 });
      onMachine(cluster, 'm-000000', { ...command, op: 'forget' });
      onMachine(cluster, 'm-000000', command);
    },
  },
  {
    rule: 'removed_unanswered',
    at: 8,
    inject: ({ store }) => {
      const conditions = [
        { key: Keys.leader, modRevision: 1 },
        { key: Keys.job('req-000001' as JobId), modRevision: 2 },
      ];
      store.transactionChecker.committed({ conditions, puts: ['plan/1'], deletes: [] });
      store.transactionChecker.committed({ conditions, puts: [], deletes: [conditions[1]!.key] });
    },
  },
  {
    rule: 'given_up',
    at: 8,
    inject: ({ store }) =>
      void store.transactionChecker.committed({ conditions: [], puts: [], deletes: ['job/pipe.work'] }),
  },
  {
    rule: 'taken_twice',
    at: 8,
    text: 'set pipelines=1\nstep work one req-000041 red array run=30 gb=0\nat 3 pipeline work',
    inject: ({ store }) => {
      store.keys.set('end/req-000041', { value: {}, modRevision: 1, lease: undefined });
      const head = store.keys.get('job/pipe.work')!;
      const body = { ...(head.value as { body: object }).body, state: 'live', generation: 0 };
      store.keys.set('job/pipe.work', { ...head, value: seal(body) });
      store.transactionChecker.committed({ conditions: [], puts: ['job/pipe.work'], deletes: [] });
    },
  },
  {
    rule: 'refused_again',
    at: 8,
    inject: ({ store }) => {
      const conditions = [
        { key: Keys.leader, modRevision: 1 },
        { key: Keys.job('req-000001' as JobId), modRevision: 2 },
      ];
      for (let i = 0; i < 4; i++)
        store.transactionChecker.refused({ conditions, puts: [], deletes: [] }, [conditions[1]!.key])();
    },
  },
];

test('a question that was on its way together with the news may cross them', async () => {
  const { failures } = await runScenario(BASE, (cluster) => {
    cluster.time.after(8000, () => {
      cluster.checker.submitted({ ...cluster.jobs.get('req-000001')!.spec, id: 'req-000008' as JobId });
      cluster.checker.recordAnswer('req-000008', 201, 'queued', 'submit');
      cluster.checker.recordAnswer('req-000008', 404, undefined, 'poll', cluster.time.now - 1);
      cluster.checker.recordAnswer('req-000008', 422, undefined, 'submit', cluster.time.now - 1);
    });
  });
  // Refused all the same, though it could run.
  assert.deepEqual(failures, ['refused at 8.00 s: req-000008 could run']);
});

test('a job about which nobody is answered for 75 s is noticed, once all troubles are over, however others fare', async () => {
  const text = `${BASE}at 2 submit req-000002 red array tasks=1 run=300\nat 10 outage cloud 20\nuntil 112`;
  const { cluster } = await runScenario(text, (cluster) => {
    const answered = cluster.checker.recordAnswer.bind(cluster.checker);
    cluster.checker.recordAnswer = (job, ...rest) => {
      if (job !== 'req-000002' || cluster.time.now < 8000) answered(job, ...rest);
    };
  });
  const violations = cluster.checker.violations;
  assert.equal(violations.length, 1, violations.join('; '));
  assert.match(violations[0]!, /^forgotten at 10[5-9].* req-000002/);
});

test('a job that waits for 90 s beside a machine with room is noticed, once all troubles are over', async () => {
  // No controller has ever heard of it; its user is answered all the same.
  const submitUnknownJob = (id: string, more: Partial<JobSpec>) => (cluster: SimulatedCluster) => {
    cluster.time.after(20_000, () => {
      const { spec } = cluster.jobs.get('req-000001')!;
      const job = { ...spec, id: id as JobId, tasks: 1, zone: null, ...more };
      cluster.jobs.set(id, { spec: job, runS: 1, faulty: false, saved: 0 });
      cluster.checker.submitted(job);
      const answerUser = (): void => {
        cluster.checker.recordAnswer(id, 200, 'queued', 'poll');
        cluster.time.after(5000, answerUser);
      };
      answerUser();
    });
  };
  const violationsOf = async (more: Partial<JobSpec>, text = ''): Promise<string[]> => {
    const day = `${BASE}${text}\nat 10 outage cloud 20\nuntil 160`;
    return (await runScenario(day, submitUnknownJob('req-000009', more))).cluster.checker.violations;
  };
  const violations = await violationsOf({});
  assert.equal(violations.length, 1, violations.join('; '));
  assert.match(violations[0]!, /^left_waiting at 12[0-9].* req-000009: 1 waiting for 90 s beside m-00000/);
  assert.match((await violationsOf({ kind: 'gang', tasks: 2, oneZone: true }))[0]!, /room for all of it/);
  // Where it may not be, or its team is at its limit, nobody is to blame.
  assert.deepEqual(await violationsOf({ zone: 'c' as never }), []);
  assert.deepEqual(await violationsOf({}, 'at 12 submit req-000002 red array tasks=3 run=300 gb=0'), []);
  // The checker's own machines count as they are: one that hangs can't be counted on.
  assert.deepEqual(await violationsOf({ zone: 'b' as never }, 'at 12 hang m-000001 150'), []);
});

test('a task that starts after its user knew of the cancellation is counted', async () => {
  const text = `${BASE}at 5 cancel req-000001\nexpect late-starts <= 0\nexpect late-starts <= 0 4`;
  const { failures } = await runScenario(text, (cluster) => {
    cluster.time.after(8000, () => onMachine(cluster, 'm-000000', start('req-000001', 0)));
  });
  assert.match(failures.join('; '), /late-starts <= 0': 1 tasks started/);
  assert.doesNotMatch(failures.join('; '), /0 4/);
});

test('a cancelled task that goes on when its machine does is noticed like any other', async () => {
  const text = `${BASE}set cancel=6 lease=60\nat 4 hang m-000000 30\nat 4.2 cancel req-000001\nat 4.2 outage cloud 60\nuntil 40`;
  const { cluster } = await runScenario(text);
  assert.match(cluster.checker.violations.join('; '), /ran_cancelled.* still on m-000000/);
});

test('a class, a team and the largest jobs that are not served are noticed, and who began late', async () => {
  const { failures } =
    await runScenario(`${BASE}at 3 submit req-000002 blue array class=big tasks=40 run=1 types=g9
at 3 submit req-000003 red array tasks=1 run=1
team blue 4 16
type g4
type g9 boot=1000
until 30
expect served >= 0.5
expect begun <= 20`);
  assert.match(failures.join('\n'), /class big 0\.00, team blue 0\.00, largest of big 0\.00/);
  assert.match(failures.join('\n'), /req-000002 began only after 27 s/);
});

for (const fault of injectedFaults) {
  test(`a planted ${fault.rule} is noticed`, async () => {
    const { cluster } = await runScenario(`${BASE}${fault.text ?? ''}`, (cluster) => {
      cluster.time.after(fault.at * 1000, () => fault.inject(cluster));
    });
    const rules = cluster.checker.violations.map((b) => b.split(' ')[0]);
    assert.ok(rules.includes(fault.rule), `found: ${cluster.checker.violations.join('; ') || 'nothing'}`);
  });
}

test('a day on which nothing runs is noticed', async () => {
  const { failures } = await runScenario('set capacity=0\nat 2 submit req-000001 red array\nuntil 20');
  assert.ok(failures.some((f) => f.startsWith('nothing_ran')));
});

test('without a plant nothing is found', async () => {
  const { failures } = await runScenario(BASE);
  assert.deepEqual(failures, []);
});
