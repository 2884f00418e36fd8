import type {MemoryClaim} from './memory-claim.ts';

/**
Memory of an endpoint and what its grants hold of it.
*/
export type EndpointMemory = {
	readonly capacityTokens: number;
	/**
	By the IDs of the grants.
	*/
	readonly claims: ReadonlyMap<string, MemoryClaim>;
};
