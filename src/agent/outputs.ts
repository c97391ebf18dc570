import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { createStream, type RotatingFileStream } from 'rotating-file-stream';

export interface OutputLimits {
  /** Of one file; so many files a stream are kept, the newest. */
  readonly mb: number;
  readonly files: number;
}

/** What a task says, in files of its attempt. A task that never stops talking fills no disk. */
export class Outputs {
  constructor(
    private readonly folder: string,
    private readonly limits: OutputLimits,
  ) {}

  folderOf(name: string): string {
    return join(this.folder, name);
  }

  keep(name: string, stream: 'out' | 'err', from: Readable): void {
    const path = this.folderOf(name);
    mkdirSync(path, { recursive: true });
    const file: RotatingFileStream = createStream(
      (time, index) => (time ? `${stream}.${index ?? 1}` : stream),
      {
        path,
        size: `${Math.max(1, Math.round(this.limits.mb * 1024))}K`,
        maxFiles: Math.max(1, this.limits.files - 1),
        initialRotation: true,
      },
    );
    // A disk that is full costs the output, never the task.
    file.on('error', () => from.resume());
    file.on('warning', () => undefined);
    from.on('error', () => undefined);
    from.pipe(file);
  }
}
