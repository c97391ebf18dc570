// A pipeline is submitted while the answer of one transaction is lost; its user submits it again, and it is accepted.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { now, sleep } from '../lib-2/base.mjs';
import { job, runCase, SAHULAT, Site } from '../lib-2/site.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const PAIRS = 15;

/** Fifteen steps without needs, and fifteen that need one of them each. */
function pipeline(world) {
  const { id: _id, ...shape } = job('req-0', 'waqt-team-01', { cards: 0, size_gb: 0 });
  const steps = Array.from({ length: 2 * PAIRS }, (_, index) => {
    const id = `req-${100 + index}`;
    world.jobs.set(id, { spec: { id, ...shape }, runS: 1, broken: false });
    return { name: `s${index}`, id, shape: 0, ...(index < PAIRS ? {} : { needs: [index - PAIRS] }) };
  });
  return { id: 'reminders', shapes: [shape], steps };
}

await runCase(folder, async (trouble, hold) => {
  const site = new Site(SAHULAT, 'pipelines.toml');
  hold(site);
  await site.open({ standing: SAHULAT.zones.map((zone) => ['bara-box', zone]) });
  const { recorder, world, state } = site;
  const spec = pipeline(world);
  let lost = 0;
  if (trouble)
    state.fault = (node, conditions, changes) => {
      // The answer of one transaction is lost: of the one that compares the ids with those of jobs that are over.
      if (lost > 0 || changes.length > 0 || !conditions.some(({ key }) => key.startsWith('end/')))
        return undefined;
      lost++;
      recorder.note(`state: the answer to a transaction of ${node} is lost`);
      return { noAnswer: true };
    };
  const accepted = await site.insist('POST', '/v1/pipelines', spec);
  if (accepted.status !== 201 && accepted.status !== 200)
    throw new Error(`the pipeline was not accepted: ${accepted.status}`);
  if (trouble && lost === 0) throw new Error('no answer was lost');
  const acceptedAt = now();

  // Its user asks for all steps, at all nodes, for a minute.
  const unknown = new Map();
  const last = new Map();
  while (now() - acceptedAt < 60) {
    for (const node of site.nodes)
      for (const { id } of spec.steps) {
        const reply = await site.ask(node, 'GET', `/v1/jobs/${id}`, undefined, {
          quiet: true,
          timeoutMs: 2000,
        });
        const text = `${reply.status} ${reply.body?.standing ?? ''}`;
        if (reply.status === 404) unknown.set(id, (unknown.get(id) ?? 0) + 1);
        if (last.get(`${id} ${node.member}`) !== text)
          recorder.note(`user asks ${node.member} for ${id}: ${text}`);
        last.set(`${id} ${node.member}`, text);
      }
    const standings = [...last.values()];
    if (standings.every((text) => text === '200 done')) break;
    await sleep(4000);
  }
  const started = new Set(world.starts.map(({ name }) => name.split('/')[0]));
  const shown = await site.ask(site.nodes[0], 'GET', '/v1/pipelines/reminders', undefined, { quiet: true });
  recorder.note(
    `the pipeline after a minute: ${shown.status} ${shown.body?.standing}, ${shown.body?.done} steps done`,
  );
  recorder.note(
    `${unknown.size} accepted steps got 404; ${started.size} of ${spec.steps.length} steps were started`,
  );
  const broken = [];
  if (unknown.size > 0) broken.push(`${unknown.size} accepted jobs got a 404 answer`);
  const waiting = spec.steps.filter(({ id }) => !started.has(id));
  if (waiting.length > 0) broken.push(`${waiting.length} accepted jobs never ran`);
  return broken;
});
