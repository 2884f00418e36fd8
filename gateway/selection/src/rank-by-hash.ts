import {hash} from 'node:crypto';

/**
 Orders names by a hash together with a key, the same on every node (rendezvous hashing).

 @example
 rankByHash('lane', ['i-1', 'i-2'])[0];
 */
export function rankByHash(key: string, names: readonly string[]): readonly string[] {
	return names
		.map(name => ({name, score: hash('md5', `${key}\n${name}`)}))
		.toSorted((a, b) => b.score.localeCompare(a.score))
		.map(({name}) => name);
}
