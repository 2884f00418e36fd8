import {hash} from 'node:crypto';

/**
 Orders names by the hash of key and name, the same on every node (rendezvous hashing). Adding or removing a name moves only the
 keys that rank it first.

 Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.

 @example
 rankByHash('lane', ['i-1', 'i-2'])[0];
 */
export function rankByHash(key: string, names: readonly string[]): readonly string[] {
	return names
		.map(name => ({name, score: hash('md5', `${key}\n${name}`)}))
		.toSorted((a, b) => compareText(b.score, a.score))
		.map(({name}) => name);
}

function compareText(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}
