import type {EndpointLoad, LoadUpdate, Placement} from '@valvesaddle/selection';
import type {EmulatedWork} from './emulated-work.ts';

type EmulatedNewsOptions = {
	readonly work: EmulatedWork;
	readonly endpoints: number;
	readonly random: () => number;
};

/**
Ranks of requests at an engine, and the largest figures that are drawn: requests, tokens and milliseconds.
*/
const ranks = 10;
const mostOpen = 12;
const mostTokens = 40_000;
const mostReadMs = 4000;
const mostParts = 1e12;
const hexadecimal = 16;

/**
 Creates the news of a busy node, drawn by lot: what it says matters to nobody here, its size does.

 @example
 const takeNews = createEmulatedNews({work: {loads: 4, placements: 1}, endpoints: 60, random});
 takeNews().loads.length; // 4
 */
export function createEmulatedNews({work, endpoints, random}: EmulatedNewsOptions): () => LoadUpdate {
	const draw = (most: number): number => Math.floor(most * random());

	function drawEndpoint(): string {
		return `e-${draw(endpoints)}`;
	}

	function drawLoad(): EndpointLoad {
		return {
			open: draw(mostOpen),
			pendingPrefill: Array.from({length: ranks}, (_value, rank) => rank % 3 === 0 ? draw(mostTokens) : 0),
			sensitivity: mostOpen * random(),
			observers: 1,
			stalledObservers: 0,
			prefilledTokens: mostTokens * random(),
			prefillMs: mostReadMs * random(),
		};
	}

	function drawPlacement(): Placement {
		const parts = Array.from({length: 2}, () => draw(mostParts).toString(hexadecimal));
		return {
			endpoint: drawEndpoint(), pool: 'desk', parts, tokens: draw(mostTokens),
		};
	}

	return () => ({
		loads: Array.from({length: work.loads}, () => [drawEndpoint(), drawLoad()] as const),
		placements: Array.from({length: work.placements}, drawPlacement),
	});
}
