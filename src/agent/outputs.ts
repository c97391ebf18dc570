import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { createStream, type RotatingFileStream } from 'rotating-file-stream';

export interface OutputLimits {
  /** Size of one file. */
  readonly mb: number;
  /** Number of files kept per stream; the newest are kept. */
  readonly files: number;
}

/** Writes the output of each attempt of a task to rotated files of limited total size, so that no task fills the disk. */
export class Outputs {
  constructor(
    private readonly folder: string,
    private readonly limits: OutputLimits,
  ) {}

  folderOf(name: string): string {
    return join(this.folder, name);
  }

  capture(name: string, stream: 'out' | 'err', source: Readable): void {
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
    // On a write error, such as a full disk, the output is discarded and the task runs on.
    file.on('error', () => source.resume());
    file.on('warning', () => undefined);
    source.on('error', () => undefined);
    source.pipe(file);
  }
}
