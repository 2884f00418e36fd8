import type {EndpointLoad, Placement} from '@valvesaddle/selection';
import type {OriginNews} from './origin-news.ts';
import type {PendingNews} from './pending-news.ts';

/**
Placements of one origin that are kept for a link; older ones are hints that prompts since then have overtaken.
*/
const mostPlacements = 64;

type Pending = {
	readonly nodes: number;
	readonly loads: Map<string, EndpointLoad>;
	readonly placements: readonly Placement[];
};

/**
 Creates the news that one link still has to carry: of each origin the last word on each endpoint.

 @example
 const pending = createPendingNews();
 pending.add({origin: 'n7', nodes: 1, loads: [['i-7f', load]], placements: []});
 pending.take().length; // 1
 */
export function createPendingNews(): PendingNews {
	const byOrigin = new Map<string, Pending>();
	/**
	Origins to be taken back before anything newer is told of them.
	*/
	const removed = new Set<string>();

	return {
		add({origin, nodes, loads, placements}) {
			const before = byOrigin.get(origin);
			const kept = before?.loads ?? new Map<string, EndpointLoad>();
			for (const [endpoint, load] of loads) {
				kept.set(endpoint, load);
			}

			byOrigin.set(origin, {nodes, loads: kept, placements: [...before?.placements ?? [], ...placements].slice(-mostPlacements)});
		},
		removeOrigin(origin) {
			byOrigin.delete(origin);
			removed.add(origin);
		},
		take() {
			const takenBack: readonly OriginNews[] = [...removed].map(origin => ({
				origin, nodes: 0, loads: [], placements: [],
			}));
			const told: readonly OriginNews[] = byOrigin.entries().map(([origin, {nodes, loads, placements}]) => ({
				origin, nodes, loads: loads.entries().toArray(), placements,
			})).toArray();
			removed.clear();
			byOrigin.clear();
			return [...takenBack, ...told];
		},
	};
}
