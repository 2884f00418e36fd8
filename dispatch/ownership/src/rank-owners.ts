import {rankByHash} from '@valvesaddle/ranking';

/**
 Ranks the nodes that may own a duty by rendezvous hashing: the first is the owner, the next its successor.

 @example
 rankOwners('drafting', ['a1', 'b1', 'c1'])[0]; // 'b1'
 */
export function rankOwners(duty: string, nodes: readonly string[]): readonly string[] {
	return rankByHash(duty, nodes);
}
