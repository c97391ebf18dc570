import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

/**
 * Starts the program from one bundled file, with the code cache that the build made: a restarted controller has a fraction of
 * a core, and finding, reading and compiling about a hundred modules takes longer than everything else until it serves. If the
 * cache is missing or rejected by the engine, the source is compiled as usual, which only takes longer.
 */
const program = join(__dirname, 'gorseyoke.cjs');
const cache = join(__dirname, 'gorseyoke.cache');

const readCodeCache = (): Buffer | undefined => {
  try {
    return readFileSync(cache);
  } catch {
    return undefined;
  }
};

const makingCache = process.argv[2] === '--make-cache';
const cachedData = makingCache ? undefined : readCodeCache();
const script = new Script(wrap(readFileSync(program, 'utf8').replace(/^#!/, '//')), {
  filename: program,
  ...(cachedData ? { cachedData } : {}),
});
if (makingCache) process.argv.splice(2, 1);
const main = script.runInThisContext() as (
  exports: object,
  require: NodeJS.Require,
  module: object,
  filename: string,
  dirname: string,
) => void;
if (makingCache) {
  // Functions that ran until the program served are compiled by then, and are part of the cache.
  const delayMs = Number(process.argv.splice(2, 1)[0]);
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
  }, delayMs);
}
main({}, createRequire(program), {}, program, __dirname);
