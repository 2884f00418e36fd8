/*
A node on the platform loads only what it runs; whatever is not plain goes to the parser of commands. A bundle that is loaded with
code compiled before behaves like one without.
*/
import {test} from 'tap';
import {chooseChunk} from '../src/choose-chunk.ts';
import {findSettingsFile} from '../src/find-settings-file.ts';
import {readChunk} from '../src/read-chunk.ts';

for (const [words, name] of [
	['gateway', 'gateway'],
	['gateway --settings a.toml', 'gateway'],
	['gateway --help', 'program'],
	['gateway --settings a.toml --more', 'program'],
	['gateway --settings', 'program'],
	['status', 'program'],
	['', 'program'],
] as const) {
	test(`${JSON.stringify(words)} is run by the ${name} part`, t => {
		t.equal(chooseChunk(words === '' ? [] : words.split(' ')), name);
		t.end();
	});
}

test('the settings file is the word after its option', t => {
	t.equal(findSettingsFile(['gateway', '--settings', 'a.toml']), 'a.toml');
	t.equal(findSettingsFile(['gateway']), undefined);
	t.end();
});

const source = `
	const path = require('node:path');
	exports.run = async words => path.basename(words[0]).length;
	exports.tryOptional = () => {
		try {
			require('bufferutil');
		} catch (error) {
			return error.code;
		}
	};
`;

test('a bundle is loaded with the code compiled before, and without when that is of another bundle', async t => {
	const first = readChunk({name: 'small', source, cachedData: undefined});
	t.equal(await first.chunk.run(['/a/bcd']), 3);
	const cachedData = first.createCache();
	t.equal(await readChunk({name: 'small', source, cachedData}).chunk.run(['/a/bcd']), 3);
	t.equal(await readChunk({name: 'small', source: `${source};`, cachedData}).chunk.run(['/a/bcd']), 3);
});

test('a library learns that its optional part is not there', t => {
	const {chunk} = readChunk({name: 'small', source, cachedData: undefined});
	t.equal((chunk as unknown as {tryOptional: () => string}).tryOptional(), 'MODULE_NOT_FOUND');
	t.end();
});
