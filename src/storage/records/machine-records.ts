/** Records of machines: those that existed before the service first ran, and the images that machines hold. */
import * as z from 'zod';
import type { MachineId } from '../../protocol/ids.js';
import { formatIndexRanges, parseIndexRanges } from './index-ranges.js';
import { fitsStoreValue, seal } from './record-envelope.js';
import { padNumber } from './store-keys.js';

/**
 * Pre-provisioned machines, which existed before the service first ran: they are the operator's own and never returned when idle.
 * `parts`, present only where one value does not hold all names, is the number of further records of this form under
 * `fleet/standing/`.
 */
export const preProvisionedMachinesSchema = z.object({
  machines: z.array(z.object({ prefix: z.string(), width: z.number(), numbers: z.string() })),
  others: z.array(z.string()),
  parts: z.number().optional(),
});
/** Machine names as they are stored. */
export type PackedNames = z.infer<typeof preProvisionedMachinesSchema>;

/** A name that ends in a number; numbers with more digits are not exact as JavaScript numbers. */
const NUMBERED_NAME = /^(.*?)(\d{1,15})$/;

/** Packs names that end in numbers as ranges: thousands of consecutive numbers fit the smallest value limit. */
export function packMachineNames(names: readonly string[]): PackedNames {
  const groups = new Map<string, { prefix: string; width: number; numbers: number[] }>();
  const others: string[] = [];
  for (const name of names) {
    const numbered = NUMBERED_NAME.exec(name);
    if (!numbered) {
      others.push(name);
      continue;
    }
    const [, prefix, digits] = numbered as unknown as [string, string, string];
    const groupKey = `${prefix}/${digits.length}`;
    const group = groups.get(groupKey) ?? { prefix, width: digits.length, numbers: [] };
    groups.set(groupKey, group);
    group.numbers.push(Number(digits));
  }
  const machines = [...groups.values()].map((group) => ({
    ...group,
    numbers: formatIndexRanges(group.numbers),
  }));
  return { machines, others };
}

/** Returns the names that `packMachineNames` packed. */
export function unpackMachineNames(packed: PackedNames): string[] {
  const numbered = packed.machines.flatMap((group) =>
    parseIndexRanges(group.numbers).map((n) => group.prefix + padNumber(n, group.width)),
  );
  return [...numbered, ...packed.others];
}

/** A three-digit key part numbers the records of one list. */
const MAX_PARTS = 999;

/**
 * Packs the names in as many records as the value limit requires, at least one. The first record gives the number of further
 * ones, and omits it where it holds all names: that form has been stored since the first version, whose readers read only the
 * first record.
 */
export function packNamesInParts(names: readonly string[], valueKb: number): readonly PackedNames[] {
  const whole = packMachineNames(names);
  if (fitsStoreValue(seal(whole), valueKb)) return [whole];
  const [first, ...further] = packInHalves([...names].sort(), valueKb);
  return [{ ...first!, parts: further.length }, ...further];
}

/** Halves the list until each piece fits with its count of parts: consecutive numbers stay in one piece. */
function packInHalves(names: readonly string[], valueKb: number): PackedNames[] {
  const packed = packMachineNames(names);
  if (names.length <= 1 || fitsStoreValue(seal({ ...packed, parts: MAX_PARTS }), valueKb)) return [packed];
  const middle = Math.ceil(names.length / 2);
  return [...packInHalves(names.slice(0, middle), valueKb), ...packInHalves(names.slice(middle), valueKb)];
}

/** Machines that were seen to hold an image: a hint for placement, which safety must never depend on. */
export interface CachedImageRecord {
  readonly name: string;
  /** Size in GB. */
  readonly gb: number;
  readonly on: readonly MachineId[];
}
/** Stored form of some images and the machines that hold them. */
export const cachedImagesSchema = z
  .object({ images: z.array(z.object({ name: z.string(), gb: z.number(), on: z.array(z.string()) })) })
  .transform((w) => w as unknown as { images: CachedImageRecord[] });
