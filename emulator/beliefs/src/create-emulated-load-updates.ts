import type {EndpointLoad, LoadUpdate, Placement} from '@valvesaddle/selection';
import type {LoadUpdateSize} from './load-update-size.ts';

type EmulatedLoadUpdatesOptions = {
	readonly size: LoadUpdateSize;
	readonly endpoints: number;
	readonly random: () => number;
};

/**
Urgency ranks of requests at an engine, and the limits of the random values.
*/
const ranks = 10;
const maximumOpenRequests = 12;
const heldTokens = 180_000;
const maximumTokens = 40_000;
const maximumPrefillMs = 4000;
const maximumPartId = 1e12;
const hexadecimal = 16;

/**
 Creates the load updates of a busy node. Only their size matters, so the values are random.

 @example
 const takeLoadUpdate = createEmulatedLoadUpdates({size: {loads: 4, placements: 1}, endpoints: 60, random});
 takeLoadUpdate().loads.length; // 4
 */
export function createEmulatedLoadUpdates({size, endpoints, random}: EmulatedLoadUpdatesOptions): () => LoadUpdate {
	const draw = (limit: number): number => Math.floor(limit * random());

	function drawEndpoint(): string {
		return `e-${draw(endpoints)}`;
	}

	function drawLoad(): EndpointLoad {
		return {
			open: draw(maximumOpenRequests),
			pendingPrefill: Array.from({length: ranks}, (_value, rank) => rank % 3 === 0 ? draw(maximumTokens) : 0),
			sensitivity: maximumOpenRequests * random(),
			observers: 1,
			stalledObservers: 0,
			prefilledTokens: maximumTokens * random(),
			prefillMs: maximumPrefillMs * random(),
			protectedStreams: 1,
			memoryTokens: heldTokens,
		};
	}

	function drawPlacement(): Placement {
		const parts = Array.from({length: 2}, () => draw(maximumPartId).toString(hexadecimal));
		return {
			endpoint: drawEndpoint(), pool: 'desk', parts, tokens: draw(maximumTokens),
		};
	}

	return () => ({
		loads: Array.from({length: size.loads}, () => [drawEndpoint(), drawLoad()] as const),
		placements: Array.from({length: size.placements}, drawPlacement),
	});
}
