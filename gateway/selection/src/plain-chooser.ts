import type {KnownEndpoint} from './known-endpoint.ts';
import type {Rating} from './rating.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
Chooses among the endpoints of a pool without engines.
*/
export type PlainChooser = {
	/**
	Chooses one of the candidates; `ready` are all endpoints of the pool, tried and ejected ones included.
	*/
	readonly choose: (ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], criteria: SelectionCriteria) => Rating | undefined;
};
