import {predictRoom, type HeldMemory} from '@valvesaddle/room';
import type {EndpointMemory} from './endpoint-memory.ts';
import type {MemoryClaim} from './memory-claim.ts';

/**
A request that has taken longer than expected is expected to go on for half of its time so far.
*/
const overdueShare = 0.5;

/**
 Checks whether an endpoint's memory has room for a request until it ends. An endpoint that does not state its memory has room.

 @param memory - The endpoint's memory and its grants.
 @param claim - What the request would hold; `grantedAt` is now.
 @example
 hasMemory({capacityTokens: 206_343, claims: new Map()}, claim); // true
 */
export function hasMemory(memory: EndpointMemory | undefined, claim: MemoryClaim | undefined): boolean {
	if (memory === undefined || claim === undefined) {
		return true;
	}

	const held = memory.claims.values().map(other => advanceClaim(other, claim.grantedAt)).toArray();
	return predictRoom({capacityTokens: memory.capacityTokens, held, request: claim}).waitMs === 0;
}

function advanceClaim({tokens, growthTokens, endsInMs, grantedAt}: MemoryClaim, now: number): HeldMemory {
	const elapsedMs = Math.max(0, now - grantedAt);
	const grownTokens = growthTokens * Math.min(1, elapsedMs / endsInMs);
	return {
		tokens: tokens + grownTokens,
		growthTokens: growthTokens - grownTokens,
		endsInMs: Math.max(endsInMs - elapsedMs, overdueShare * elapsedMs),
	};
}
