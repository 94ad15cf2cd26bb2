/**
 * Reproducible random numbers for tests and tools.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a generator of uniform random numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}
