import type {PoolKind} from './pool-kind.ts';

/**
Endpoints that can stand in for each other: one model in one region, or one plain service.
*/
export type Pool = {
	readonly name: string;
	readonly kind: PoolKind;
	/**
	Model name that callers use; for a plain service, the first part of its path.
	*/
	readonly model: string;
	readonly region: string;
	/**
	Whether a request may run more than once. Plain services that may not are claimed first.
	*/
	readonly repeatable: boolean;
	/**
	Target for the time between tokens, in milliseconds.
	*/
	readonly interTokenTargetMs: number;
	/**
	Dispatchers over which the pool is split; more than one only when it is too large for one.
	*/
	readonly dispatchers: number;
};
