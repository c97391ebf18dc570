import type { Clock } from '../transport/clock.js';
import type { HistoryEntry } from './records.js';

interface Watch {
  readonly prefix: string;
  readonly wake: () => void;
}

/** Two for each of 4,000 controllers; more means that a client leaks watches. */
const MAX_WATCHES = 8192;

/** Pending watches, each for changes of keys with a prefix. */
export class Watches {
  private readonly waiting = new Set<Watch>();

  constructor(private readonly clock: Clock) {}

  get full(): boolean {
    return this.waiting.size >= MAX_WATCHES;
  }

  /** Resolves when a key with the prefix has changed or the wait time is over. */
  next(prefix: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.after(waitMs, () => waiting.wake());
      const waiting: Watch = {
        prefix,
        wake: () => {
          timer.cancel();
          this.waiting.delete(waiting);
          resolve();
        },
      };
      this.waiting.add(waiting);
    });
  }

  notify(entries: readonly HistoryEntry[]): void {
    for (const watch of [...this.waiting])
      if (entries.some((item) => item.key.startsWith(watch.prefix))) watch.wake();
  }

  wakeAll(): void {
    for (const watch of [...this.waiting]) watch.wake();
  }
}
