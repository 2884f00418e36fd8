import type {PoolKind} from './pool-kind.ts';

/**
A pool of interchangeable endpoints: one model in one region, or one plain service.
*/
export type Pool = {
	readonly name: string;
	readonly kind: PoolKind;
	/**
	Model name that callers use; for a plain service, the first segment of its path.
	*/
	readonly model: string;
	readonly region: string;
	/**
	Whether a request may run more than once. If not, a request to a plain service is claimed before it is sent.
	*/
	readonly repeatable: boolean;
	/**
	Target for the time between tokens, in milliseconds.
	*/
	readonly interTokenTargetMs: number;
	/**
	Number of dispatchers that the pool is sharded over; more than 1 only for a pool too large for one.
	*/
	readonly dispatchers: number;
};
