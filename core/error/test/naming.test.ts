import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'tap';

const root = path.resolve(import.meta.dirname, '../../..');
const functionPattern = /^(?:export )?(?:async )?function (?:\* )?(?<name>\w+)/v;

async function listSources(): Promise<readonly string[]> {
	const entries = await readdir(root, {recursive: true});
	return entries.filter(entry => entry.endsWith('.ts') && entry.includes(`${path.sep}src${path.sep}`)
		&& !entry.includes('node_modules') && !entry.includes('generated'));
}

async function readVerbs(): Promise<ReadonlySet<string>> {
	const text = await readFile(path.join(root, 'docs/NAMING.md'), 'utf8');
	const [, table = ''] = text.split('## Verbs', 2);
	const [rows = ''] = table.split('## Exceptions', 1);
	return new Set(rows.matchAll(/`(?<verb>[a-z]+)`/gv).map(match => match.groups?.verb ?? ''));
}

test('every function begins with a verb of the list in docs/NAMING.md', async t => {
	const verbs = await readVerbs();
	const violations: string[] = [];
	for (const source of await listSources()) {
		// eslint-disable-next-line no-await-in-loop -- files are read sequentially
		const text = await readFile(path.join(root, source), 'utf8');
		const names = text.split('\n').flatMap(line => functionPattern.exec(line.trim())?.groups?.name ?? []);
		for (const name of names) {
			const [verb = ''] = /^[a-z]+/v.exec(name) ?? [];
			if (!verbs.has(verb)) {
				violations.push(`${source}: ${name}`);
			}
		}
	}

	t.ok(verbs.size > 0 && verbs.size < 80);
	t.same(violations, []);
});

test('every file but an index exports one thing', async t => {
	const violations: string[] = [];
	for (const source of await listSources()) {
		// eslint-disable-next-line no-await-in-loop -- files are read sequentially
		const text = await readFile(path.join(root, source), 'utf8');
		const count = text.split('\n').filter(line => line.startsWith('export ')).length;
		const isEntry = source.endsWith('main.ts') && count === 0;
		if (count !== 1 && !isEntry && path.basename(source) !== 'index.ts') {
			violations.push(`${source}: ${count}`);
		}
	}

	t.same(violations, []);
});
