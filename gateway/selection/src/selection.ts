import type {Rating} from './rating.ts';

/**
The endpoint that was chosen, and how much was known of the work of others.
*/
export type Selection = Rating & {
	/**
	Milliseconds since any other node told of its work; -1 when none has.
	*/
	readonly newsAgeMs: number;
	/**
	How many times the known work was taken to stand for all of it.
	*/
	readonly unseenFactor: number;
};
