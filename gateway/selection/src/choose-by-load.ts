import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import type {Rating} from './rating.ts';

type ChooseByLoadOptions = {
	readonly loads: Pick<LoadTable, 'get'>;
	readonly candidates: readonly KnownEndpoint[];
	readonly urgency: number;
};

/**
 Chooses the endpoint with the fewest open requests for its slots; of several, one at random.

 @example
 chooseByLoad({loads, candidates, urgency: 0})?.endpoint.id;
 */
export function chooseByLoad({loads, candidates, urgency}: ChooseByLoadOptions): Rating | undefined {
	const rated = candidates.map(endpoint => ({
		endpoint, heldTokens: 0, costMs: (loads.get(endpoint.incarnation).open + Math.random()) / endpoint.slots, readMs: 0, harmMs: 0, urgency, candidates: candidates.length, memoryTokens: 0, roomInMs: 0,
	}));
	return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
}
