import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 A seeded source of numbers from 0 to 1, so that two runs send the same load.

 @example
 const random = createRandom(7);
 random(); // the same first number at every run
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
