import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

/**
 * Starts the program from one file, with the code that was compiled when it was built: a restarted controller has a
 * fraction of a core, and finding, reading and compiling some hundred modules costs it more than all else until it
 * serves. A cache that is missing, or that this engine refuses, costs only time: the source is compiled as ever.
 */
const program = join(__dirname, 'gorseyoke.cjs');
const cache = join(__dirname, 'gorseyoke.cache');

const cached = (): Buffer | undefined => {
  try {
    return readFileSync(cache);
  } catch {
    return undefined;
  }
};

const making = process.argv[2] === '--make-cache';
const data = making ? undefined : cached();
const script = new Script(wrap(readFileSync(program, 'utf8').replace(/^#!/, '//')), {
  filename: program,
  ...(data ? { cachedData: data } : {}),
});
if (making) process.argv.splice(2, 1);
const main = script.runInThisContext() as (
  exports: object,
  require: NodeJS.Require,
  module: object,
  filename: string,
  dirname: string,
) => void;
if (making) {
  // What ran until the program serves is compiled by then, and goes into the cache with the rest.
  const after = Number(process.argv.splice(2, 1)[0]);
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
  }, after);
}
main({}, createRequire(program), {}, program, __dirname);
