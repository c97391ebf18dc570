import { createHash } from 'node:crypto';
import { spawn } from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdirSync,
  readdirSync,
  renameSync,
  rmSync,
  statSync,
  utimesSync,
} from 'node:fs';
import { join } from 'node:path';
import { err, ok, type Result } from '../transport/result.js';
import { messageOf } from '../transport/error-message.js';

/** Cache of the images on this machine. An image that several tasks wait for is fetched once; the least recently used go first. */
export class Images {
  private readonly pendingFetches = new Map<string, Promise<Result<string | undefined, string>>>();
  private readonly useCounts = new Map<string, number>();

  constructor(
    private readonly folder: string,
    private readonly maxImages: number,
  ) {
    mkdirSync(folder, { recursive: true });
    // A `.part` folder is an incomplete fetch of an earlier agent process.
    for (const name of readdirSync(folder)) {
      if (name.endsWith('.part')) rmSync(join(folder, name), { recursive: true, force: true });
    }
  }

  /** Returns the folder with the image; undefined for an image that has a name only, without a path. */
  async get(image: string, path: string | null): Promise<Result<string | undefined, string>> {
    if (path === null) return ok(undefined);
    const key = createHash('sha256').update(`${image}\0${path}`).digest('hex').slice(0, 24);
    const imageFolder = join(this.folder, key);
    this.useCounts.set(key, (this.useCounts.get(key) ?? 0) + 1);
    if (existsSync(imageFolder)) {
      const now = new Date();
      utimesSync(imageFolder, now, now);
      return ok(imageFolder);
    }
    let fetch = this.pendingFetches.get(key);
    if (!fetch) {
      fetch = this.fetch(path, imageFolder).finally(() => this.pendingFetches.delete(key));
      this.pendingFetches.set(key, fetch);
    }
    const fetched = await fetch;
    if (!fetched.ok) this.release(imageFolder);
    return fetched;
  }

  release(imageFolder: string | undefined): void {
    if (imageFolder === undefined) return;
    const key = imageFolder.slice(this.folder.length + 1);
    const useCount = (this.useCounts.get(key) ?? 1) - 1;
    if (useCount > 0) this.useCounts.set(key, useCount);
    else this.useCounts.delete(key);
  }

  private async fetch(path: string, imageFolder: string): Promise<Result<string, string>> {
    this.evictUnused();
    const part = `${imageFolder}.part`;
    rmSync(part, { recursive: true, force: true });
    try {
      if (statSync(path).isDirectory()) cpSync(path, part, { recursive: true });
      else {
        mkdirSync(part);
        const code = await new Promise<number>((resolve) =>
          spawn('tar', ['-xf', path, '-C', part], { stdio: 'ignore' })
            .on('error', () => resolve(127))
            .on('exit', (exitCode) => resolve(exitCode ?? 1)),
        );
        if (code !== 0) return err(`${path}: tar exited with code ${code}`);
      }
      renameSync(part, imageFolder);
      return ok(imageFolder);
    } catch (e) {
      return err(messageOf(e));
    } finally {
      rmSync(part, { recursive: true, force: true });
    }
  }

  private evictUnused(): void {
    const all = readdirSync(this.folder).filter((key) => !key.endsWith('.part'));
    const unused = all
      .filter((key) => !this.useCounts.has(key))
      .map((key) => ({ key, lastUsedMs: statSync(join(this.folder, key)).mtimeMs }))
      .sort((a, b) => a.lastUsedMs - b.lastUsedMs);
    for (const { key } of unused.slice(0, Math.max(0, all.length + 1 - this.maxImages))) {
      rmSync(join(this.folder, key), { recursive: true, force: true });
    }
  }
}
