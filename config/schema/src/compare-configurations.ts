import type {Configuration} from '@valvesaddle/types';

/**
One line of a diff: `+` added, `-` removed, `~` replaced.
*/
type Line = string;

/**
 Compares two configurations part by part; one line for each item added, removed or replaced.

 @example
 compareConfigurations(before, after); // ['+ endpoints e2', '~ classes barrier']
 */
export function compareConfigurations(before: Configuration, after: Configuration): readonly Line[] {
	return [
		...comparePart('classes', before.classes, after.classes, ({name}) => name),
		...comparePart('accounts', before.accounts, after.accounts, ({name}) => name),
		...comparePart('pools', before.pools, after.pools, ({name}) => name),
		...comparePart('endpoints', before.endpoints, after.endpoints, ({id}) => id),
		...comparePart('bindings', before.bindings, after.bindings, ({account, pool}) => `${account}:${pool}`),
	];
}

function comparePart<Item>(part: string, before: readonly Item[], after: readonly Item[], getKey: (item: Item) => string): readonly Line[] {
	const old = new Map(before.map(item => [getKey(item), JSON.stringify(item)]));
	const current = new Map(after.map(item => [getKey(item), JSON.stringify(item)]));
	const lines: Line[] = [];
	for (const [key, text] of current) {
		const previous = old.get(key);
		if (previous === undefined) {
			lines.push(`+ ${part} ${key}`);
		} else if (previous !== text) {
			lines.push(`~ ${part} ${key}`);
		}
	}

	for (const key of old.keys()) {
		if (!current.has(key)) {
			lines.push(`- ${part} ${key}`);
		}
	}

	return lines;
}
