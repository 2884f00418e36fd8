import {hash} from 'node:crypto';

/**
 Ranks the nodes that may carry a duty by rendezvous hashing: the first is the owner, the next its successor. A node
 that comes or goes moves only the duties that it gains or loses.

 Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.

 @example
 rankOwners('drafting', ['a1', 'b1', 'c1'])[0]; // 'b1'
 */
export function rankOwners(duty: string, nodes: readonly string[]): readonly string[] {
	return nodes
		.map(node => ({node, score: hash('md5', `${duty}\n${node}`)}))
		.toSorted((a, b) => compareText(b.score, a.score))
		.map(({node}) => node);
}

function compareText(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}
