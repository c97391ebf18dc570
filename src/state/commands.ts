import type { Command } from 'commander';
import { ok, type Result } from '../transport/result.js';
import { restoreSnapshot, takeSnapshot, verifyFolder, type SnapshotSummary } from './snapshot.js';

const summaryOf = (what: string, r: Result<SnapshotSummary, string>): Result<string, string> =>
  r.ok ? ok(`${what}: ${r.value.keys} keys, revision ${r.value.revision}`) : r;

/** `gorseyoke state …`: operator commands on the folder of a state service that is not running. */
export function stateCommands(program: Command, report: (result: Result<string, string>) => void): void {
  const state = program.command('state').description('look after the folder of a state service that is down');
  state
    .command('verify <folder>')
    .description('read every record and check it')
    .action((folder: string) => verifyFolder(folder).then((r) => report(summaryOf('good', r))));
  state
    .command('snapshot <folder> <file>')
    .description('write all keys and leases into one checksummed file')
    .action((folder: string, file: string) =>
      takeSnapshot(folder, file).then((r) => report(summaryOf(`written to ${file}`, r))),
    );
  state
    .command('restore <file> <folder>')
    .description('make a new folder of a snapshot; the folder must be empty')
    .action((file: string, folder: string) =>
      restoreSnapshot(file, folder).then((r) => report(summaryOf(`restored into ${folder}`, r))),
    );
}
