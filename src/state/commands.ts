import type { Command } from 'commander';
import { ok, type Result } from '../transport/result.js';
import { restoreSnapshot, takeSnapshot, verifyFolder, type Counted } from './snapshot.js';

const said = (what: string, r: Result<Counted, string>): Result<string, string> =>
  r.ok ? ok(`${what}: ${r.value.keys} keys, revision ${r.value.revision}`) : r;

/** `gorseyoke state …`: what an operator does to a folder that no process uses. */
export function stateCommands(program: Command, report: (result: Result<string, string>) => void): void {
  const state = program.command('state').description('look after the folder of a state service that is down');
  state
    .command('verify <folder>')
    .description('read every record and check it')
    .action((folder: string) => verifyFolder(folder).then((r) => report(said('good', r))));
  state
    .command('snapshot <folder> <file>')
    .description('write all keys and leases into one checksummed file')
    .action((folder: string, file: string) =>
      takeSnapshot(folder, file).then((r) => report(said(`written to ${file}`, r))),
    );
  state
    .command('restore <file> <folder>')
    .description('make a new folder of a snapshot; the folder must be empty')
    .action((file: string, folder: string) =>
      restoreSnapshot(file, folder).then((r) => report(said(`restored into ${folder}`, r))),
    );
}
