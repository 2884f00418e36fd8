import type {EndpointMemory, MemoryClaim} from '@valvesaddle/policy';

/**
 Sets what a grant holds of an endpoint's memory, or removes it if it holds nothing.

 @example
 setMemoryClaim({capacityTokens: 9000, claims: new Map()}, 'g1', claim).claims.size; // 1
 */
export function setMemoryClaim(memory: EndpointMemory, grantId: string, claim: MemoryClaim | undefined): EndpointMemory {
	const claims = new Map(memory.claims);
	if (claim === undefined) {
		claims.delete(grantId);
	} else {
		claims.set(grantId, claim);
	}

	return {...memory, claims};
}
