import { writeFileSync, appendFileSync } from 'node:fs';

/** Writes record.txt: one line for each event, with the seconds since the start. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  write(who, text) {
    appendFileSync(this.file, `${this.seconds().toFixed(3).padStart(8)} ${who.padEnd(12)} ${text}\n`);
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until `condition` returns a true value; returns it, or undefined after `limitMs`. */
export async function waitFor(condition, limitMs, stepMs = 25) {
  const until = performance.now() + limitMs;
  for (;;) {
    const value = await condition();
    if (value) return value;
    if (performance.now() > until) return undefined;
    await sleep(stepMs);
  }
}
