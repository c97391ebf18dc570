import { fileURLToPath } from 'node:url';
import { arrayJob, runCase, SAHULAT } from '../lib/site.mjs';
import { Client } from '../lib/http.mjs';
import { sleep, waitFor } from '../lib/record.mjs';

/** The site sahulat-cal-fleet: its settings, with a few of its machines. */
const FLEET = {
  ...SAHULAT,
  workers: { ...SAHULAT.workers, reportS: 5 },
  quota: { core_share: 0.374, memory_mb: 290, max_connections: 2690 },
  teams: SAHULAT.teams.map((team) => ({ ...team, gpus: 150, gpusMax: 350 })),
  standing: [
    ['bara-box', 'chenab', 1],
    ['bara-box', 'ravi', 1],
    ['bara-box', 'indus', 1],
  ],
};
/** Tasks of an array that its user cancels while they run on one machine; CANCELLED=10 shows the rule kept. */
const CANCELLED = Number(process.env.CANCELLED ?? 70);
const IMAGE = { seedbag: 'img-07', size_gb: 0.4 };

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (site, trouble) => {
    const { record, world, workers } = site;
    const [node] = site.nodes;
    const old = workers.find((worker) => worker.machine.paddock === 'chenab');

    // An array of small tasks runs on one machine, and its user cancels it.
    const array = arrayJob({
      ...IMAGE,
      furrows: CANCELLED,
      vcpus: 0.4,
      cards: 0,
      mem_gb: 0.5,
      paddock: 'chenab',
    });
    if (!(await site.submit(array, { runS: 300 }, node))) throw new Error('the array was not accepted');
    const runs = (job, worker) => [...worker.tasks.values()].filter((t) => t.name.startsWith(`${job.id}/`));
    const allRun = () => runs(array, old).filter((t) => t.standing === 'running').length === CANCELLED;
    if (!(await waitFor(allRun, 30_000))) throw new Error('the array does not run');
    if ((await site.abort(array.id, node)) !== 'withdrawn') throw new Error('the array was not cancelled');
    const allGone = () => runs(array, old).every((t) => t.standing === 'exited');
    if (!(await waitFor(allGone, 30_000))) throw new Error('the cancelled tasks do not end');
    await sleep(8000);

    // A task starts on the same machine, which has its image, fails there, and is started on another machine.
    const job = arrayJob({ ...IMAGE, plough_s: 60 });
    const name = `${job.id}/0`;
    let order;
    for (const worker of workers) {
      worker.onOrders = (data) => {
        if (data.calls.some((call) => call.call === 'run' && call.furrow === name))
          order ??= { worker, data };
      };
    }
    if (!(await site.submit(job, { runS: 60, failsOn: new Set([old.id]) }, node)))
      throw new Error('the job was not accepted');
    const isElsewhere = () => world.machinesOf(name).some((id) => id !== old.id);
    if (!(await waitFor(isElsewhere, 30_000))) throw new Error('the task is not started again');
    if (order?.worker !== old) throw new Error('the task was not started first where its image is');
    // Longer than the time between two reports.
    await sleep(8000);

    // The network delivers a copy of the request that started it first.
    if (trouble) {
      record.write('network', `repeats the request to ${old.id}: ${JSON.stringify(order.data, bigints)}`);
      const network = new Client();
      const reply = await network.call(old.machine.address, 'POST', '/orders', order.data, 4000);
      record.write('network', `it is answered ${reply?.status}`);
    }
    await sleep(6000);
    const twice = world.twice.find((start) => start.name === name);
    return twice && `${name} starts on ${twice.machine} while it is on ${twice.elsewhere.join(' ')}`;
  },
  FLEET,
);

function bigints(_, value) {
  return typeof value === 'bigint' ? value.toString() : value;
}
