/**
 A seeded source of numbers from 0 to 1, so that two runs send the same load (mulberry32).

 @example
 const random = createRandom(7);
 random(); // the same first number at every run
 */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = Math.trunc(state + 0x6D_2B_79_F5);
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
}
