import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 Creates a seeded generator of uniform numbers from 0 to 1, for reproducible runs.

 @example
 const random = createRandom(7);
 random(); // the same first number in every run
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
