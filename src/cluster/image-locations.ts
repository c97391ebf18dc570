/** Which machines hold which image. Each machine keeps its images in order of use; this is the index over all machines. */
import type { ImageName } from '../protocol/ids.js';
import type { Machine } from './entities.js';

/** Index from images to machines that may hold them. Entries that are no longer true are removed when read. */
export class ImageLocations {
  private readonly candidates = new Map<ImageName, Set<Machine>>();

  /** Adds a machine that holds the image, or fetches it for a task. */
  add(machine: Machine, image: ImageName): void {
    const machines = this.candidates.get(image);
    if (machines) machines.add(machine);
    else this.candidates.set(image, new Set([machine]));
  }

  /** Yields machines that hold the image, or are fetching it for a task placed there. */
  *machinesWith(image: ImageName): IterableIterator<Machine> {
    const machines = this.candidates.get(image);
    if (!machines) return;
    for (const machine of machines) {
      if (holdsOrFetches(machine, image)) yield machine;
      else machines.delete(machine);
    }
  }
}

const holdsOrFetches = (machine: Machine, image: ImageName): boolean =>
  machine.state !== 'gone' && (machine.cachedImages.has(image) || fetches(machine, image));

function fetches(machine: Machine, image: ImageName): boolean {
  for (const placement of machine.placements)
    if (!placement.ended && placement.job.spec.image === image) return true;
  return false;
}

/**
 * Makes the image the most recently used one of the machine and removes the least recently used ones beyond the size of
 * its cache. Returns whether the image is new there.
 */
export function useImage(machine: Machine, image: ImageName, gb: number, cacheGb: number): boolean {
  const known = machine.cachedImages.delete(image);
  machine.cachedImages.set(image, gb);
  if (known) return false;
  let totalGb = 0;
  for (const size of machine.cachedImages.values()) totalGb += size;
  for (const [oldest, size] of machine.cachedImages) {
    if (totalGb <= cacheGb || oldest === image) break;
    machine.cachedImages.delete(oldest);
    totalGb -= size;
  }
  return true;
}
