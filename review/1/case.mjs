import { fileURLToPath } from 'node:url';
import { arrayJob, runCase } from '../lib/site.mjs';
import { sleep, waitFor } from '../lib/record.mjs';

/** "Responses usually take under 10 ms, and occasionally a few hundred." */
const SLOW_ANSWER_MS = 400;
/** The user cancels this long after the state service has the plan of the job. */
const CANCEL_AFTER_MS = 20;
/** "its user expects `done` from 3 s after the last task of a job has completed" */
const DONE_WITHIN_S = 3;
/** The user goes on asking for so long: an answer that is only late would come by then. */
const ASK_FOR_S = 75;

/** The transaction that commits a plan for the job: it sets a plan and is conditioned on the job's record. */
const placesJob = (transaction, id) =>
  transaction.then.some((change) => change.set?.startsWith('plan/')) &&
  transaction.if.some((condition) => condition.key === `job/${id}`);

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (site, trouble) => {
  const { record, state, world } = site;
  const [first, second] = site.nodes;

  // All is well before: a job is accepted, runs and is called done.
  const before = arrayJob({ furrows: 2 });
  if (!(await site.submit(before, { runS: 1 }, first))) throw new Error('the first job was not accepted');
  const isDone = (id) => async () => (await site.poll(id, second)) === 'done';
  if (!(await waitFor(isDone(before.id), 20_000, 1000))) throw new Error('the first job is not called done');

  // A user submits a job and cancels it at once, as the state service takes a little longer for one answer.
  const cancelled = arrayJob({ plough_s: 60 });
  let cancelling;
  state.answerDelayMs = (transaction, reply) => {
    if (reply.status !== 200 || cancelling || !placesJob(transaction, cancelled.id)) return 0;
    record.write('state', `plan for ${cancelled.id} carried out`);
    cancelling = sleep(CANCEL_AFTER_MS).then(() => site.abort(cancelled.id, second));
    if (!trouble) return 0;
    record.write('state', `the answer takes ${SLOW_ANSWER_MS} ms longer`);
    return SLOW_ANSWER_MS;
  };
  if (!(await site.submit(cancelled, { runS: 60 }, first))) throw new Error('the job was not accepted');
  if (!(await waitFor(() => cancelling, 20_000))) throw new Error('no plan for the job');
  await cancelling;
  await sleep(8000);

  // From here on nothing is disturbed. Another user's job runs and completes; its user asks until it is called done.
  const conflictsBefore = state.counts.conflicts;
  const job = arrayJob({ furrows: 2, herd: 'waqt-team-01' });
  if (!(await site.submit(job, { runS: 2 }, first))) throw new Error('the second job was not accepted');
  const names = Array.from({ length: job.furrows }, (_, i) => `${job.id}/${i}`);
  const completed = await waitFor(() => names.every((name) => world.results.has(name)), 20_000);
  if (!completed) throw new Error('the second job does not run');
  const completedAt = Math.max(...names.map((name) => world.results.get(name)));
  record.write('world', `all tasks of ${job.id} have completed`);
  const answeredDone = await waitFor(
    async () => (await Promise.all(site.nodes.map((node) => site.poll(job.id, node)))).includes('done'),
    ASK_FOR_S * 1000,
    2000,
  );
  const waitedS = (performance.now() - completedAt) / 1000;
  record.write(
    'state',
    `transactions refused for their conditions: ${state.counts.conflicts - conflictsBefore}`,
  );
  if (answeredDone) {
    record.write('user', `${job.id} is called done ${waitedS.toFixed(1)} s after its last task completed`);
    return undefined;
  }
  return `${job.id} is not called done ${waitedS.toFixed(0)} s after its last task completed (at most ${DONE_WITHIN_S} s)`;
}).catch(() => process.exit(2));
