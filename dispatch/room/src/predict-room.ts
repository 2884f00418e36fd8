import type {HeldMemory} from './held-memory.ts';
import type {MemoryRoom} from './memory-room.ts';
import {predictMemory} from './predict-memory.ts';
import {predictPeak} from './predict-peak.ts';

type RoomInput = {
	/**
	Memory of the engine, in tokens.
	*/
	readonly capacityTokens: number;
	/**
	What runs at the engine and what waits there.
	*/
	readonly held: readonly HeldMemory[];
	/**
	What the request would hold from its start to its end.
	*/
	readonly request: HeldMemory;
};

/**
 Predicts whether a request fits into an engine's memory until it ends, and otherwise when it will. An engine that runs nothing
 has room for any request, also one larger than its memory, which only the engine itself can refuse.

 @example
 const request = {tokens: 9200, growthTokens: 50, endsInMs: 700};
 predictRoom({capacityTokens: 206_343, held: Array.from({length: 22}, () => request), request}).waitMs; // 700
 */
export function predictRoom({capacityTokens, held, request}: RoomInput): MemoryRoom {
	const running = held.filter(({endsInMs}) => endsInMs > 0);
	const peakTokens = predictPeakFrom(running, request, 0);
	const overflowTokens = running.length === 0 ? 0 : Math.max(0, peakTokens - capacityTokens);
	if (overflowTokens === 0) {
		return {waitMs: 0, peakTokens, overflowTokens};
	}

	const ends = running.map(({endsInMs}) => endsInMs).toSorted((a, b) => a - b);
	// Most ends free too little even for the prompt, which is quicker to see than the peak.
	const waitMs = ends.find(endsInMs => predictMemory(running, endsInMs) + request.tokens <= capacityTokens && predictPeakFrom(running, request, endsInMs) <= capacityTokens) ?? ends.at(-1) ?? 0;
	return {waitMs, peakTokens, overflowTokens};
}

/**
Predicts the peak from the start of the request to its end.
*/
function predictPeakFrom(running: readonly HeldMemory[], request: HeldMemory, startMs: number): number {
	const others = running.filter(({endsInMs}) => endsInMs > startMs).map(({tokens, growthTokens, endsInMs}) => {
		const grownTokens = growthTokens * startMs / endsInMs;
		return {tokens: tokens + grownTokens, growthTokens: growthTokens - grownTokens, endsInMs: endsInMs - startMs};
	});
	return predictPeak([...others, request], request.endsInMs);
}
