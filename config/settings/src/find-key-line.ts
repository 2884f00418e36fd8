/**
 Finds the line of a key in a TOML text whose tables are written as `[table]` or `[table.part]`; `undefined` if it is
 missing.

 @example
 findKeyLine('[node]\nid = "A 1"', ['node', 'id']); // 2
 */
export function findKeyLine(text: string, path: readonly string[]): number | undefined {
	const [table, key] = path;
	let current = '';
	for (const [index, line] of text.split('\n').entries()) {
		const header = /^\s*\[{1,2}(?<name>[^\]]+)\]{1,2}/v.exec(line)?.groups?.name;
		current = header?.trim() ?? current;
		const name = /^\s*(?<name>[\w\-]+)\s*=/v.exec(line)?.groups?.name;
		if (name === undefined) {
			continue;
		}

		const isWhole = (current === '' ? name : `${current}.${name}`) === path.join('.');
		if (isWhole || (current === table && (name === key || path.includes(name)))) {
			return index + 1;
		}
	}

	return undefined;
}
