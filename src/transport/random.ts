import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Randomness is injected. It only spreads retries; safety does not depend on it. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  return { next: () => (generator.next() >>> 0) / 0x1_0000_0000 };
}

/** A random pause of between half and one and a half times `ms`. */
export const jitter = (random: Random, ms: number): number => ms * (0.5 + random.next());
