import type {Rating} from './rating.ts';

/**
The chosen endpoint, and how complete the known load was.
*/
export type Selection = Rating & {
	/**
	Milliseconds since the last load update of a peer; -1 without one.
	*/
	readonly newsAgeMs: number;
	/**
	Factor that extrapolated the known load to the whole fleet.
	*/
	readonly unseenFactor: number;
};
