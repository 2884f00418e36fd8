import type {PrefixCache} from './prefix-cache.ts';
import type {Sequence} from './sequence.ts';

/**
A step of an engine, as requests that were removed see it.
*/
export type Step = {
	readonly running: readonly Sequence[];
	readonly prefills: ReadonlyMap<Sequence, number>;
	/**
	Tokens in use of the KV cache.
	*/
	readonly inUse: number;
	readonly slowness: number;
	/**
	Shared parts in the prefix cache.
	*/
	readonly cached: Pick<PrefixCache, 'has'>;
};
