import { World } from '../../src/bookkeeping/world.js';
import { FencedWriter } from '../../src/coordination/fenced-writer.js';
import { CancelledStops } from '../../src/coordination/orders/cancelled-stops.js';
import { Answering, type AnsweringDeps } from '../../src/coordination/term/answering.js';
import { Lone } from '../../src/coordination/term/lone.js';
import { Holder } from '../../src/coordination/holder.js';

/** Faults that the search must find, planted by changing the program's own pieces while it looks; nothing of them is in the program. */
type Patch = (undo: (back: () => void) => void) => void;

/** Private members are what is changed here. */
const inside = (of: { readonly prototype: unknown }): Record<string, unknown> =>
  of.prototype as Record<string, unknown>;

function replace(
  undo: (back: () => void) => void,
  target: Record<string, unknown>,
  name: string,
  by: unknown,
): void {
  const before = target[name];
  target[name] = by;
  undo(() => (target[name] = before));
}

export const FAULTS: Readonly<Record<string, Patch>> = {
  'a late copy is taken as proof': (undo) => {
    const { addMachine } = inside(World) as { addMachine: (...a: unknown[]) => object };
    replace(undo, inside(World), 'addMachine', function (this: World, ...a: unknown[]) {
      // No report is ever older than the one before.
      return Object.defineProperty(addMachine.apply(this, a), 'seq', { get: () => 0n, set: () => undefined });
    });
  },
  'a cut holder answers for ever': (undo) => {
    replace(undo, inside(Answering), 'may', function (this: { d: AnsweringDeps }) {
      return this.d.term.current !== undefined;
    });
    replace(undo, inside(Lone), 'sendsAway', () => false);
  },
  // The missing world is the fault: whoever has none answers with nothing, as it used to.
  'a loading holder answers and stops nothing': (undo) => {
    const { complete } = inside(CancelledStops) as { complete: CancelledStops['complete'] };
    replace(
      undo,
      inside(CancelledStops),
      'complete',
      function (this: CancelledStops, ...a: Parameters<CancelledStops['complete']>) {
        const [, commands, placements] = a;
        return Array.isArray(placements) ? commands : complete.apply(this, a);
      },
    );
  },
  'the fence is left out': (undo) => {
    replace(
      undo,
      inside(FencedWriter),
      'write',
      function (this: { s: Holder }, _: never, ...a: [never, never, never]) {
        return this.s.d.store.txn([], ...a);
      },
    );
  },
  'a task is forgotten before its end is stored': (undo) => {
    const { end } = inside(World) as { end: (...a: unknown[]) => void };
    replace(
      undo,
      inside(World),
      'end',
      function (this: World, p: Parameters<World['settle']>[0], how: string, now: unknown) {
        end.call(this, p, how, now);
        if (p.ended?.how === 'done') {
          p.job.done.add(p.index);
          this.settle(p);
        }
      },
    );
  },
};

export async function withFault<T>(name: string, run: () => Promise<T>): Promise<T> {
  const back: (() => void)[] = [];
  FAULTS[name]!((b) => void back.push(b));
  try {
    return await run();
  } finally {
    for (const b of back.reverse()) b();
  }
}
