import type {EndpointLoad, LoadNews, Placement} from '@valvesaddle/selection';
import type {LoadUpdateSize} from './load-update-size.ts';

type EmulatedLoadUpdatesOptions = {
	readonly work: LoadUpdateSize;
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
export function createEmulatedLoadUpdates({work, endpoints, random}: EmulatedLoadUpdatesOptions): () => LoadNews {
	const draw = (most: number): number => Math.floor(most * random());

	function drawEndpoint(): string {
		return `e-${draw(endpoints)}`;
	}

	function drawLoad(): EndpointLoad {
		return {
			open: draw(mostOpen),
			unread: Array.from({length: ranks}, (_value, rank) => rank % 3 === 0 ? draw(mostTokens) : 0),
			sensitivity: mostOpen * random(),
			witnesses: 1,
			silent: 0,
			readTokens: mostTokens * random(),
			readMs: mostReadMs * random(),
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
