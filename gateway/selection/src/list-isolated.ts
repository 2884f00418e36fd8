import {rankByHash} from '@valvesaddle/ranking';
import type {KnownEndpoint} from './known-endpoint.ts';

/**
 Narrows the candidates for a request that may crash endpoints to the one that its key ranks first, the same on every node.

 @example
 listIsolated(digest, candidates).length; // 1, or 0 without a candidate
 */
export function listIsolated(key: string, candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
	const [first] = rankByHash(key, candidates.map(({incarnation}) => incarnation));
	return candidates.filter(({incarnation}) => incarnation === first);
}
