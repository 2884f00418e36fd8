/*
Guards against loading the wrong chunk for a command, and against a stale code cache that changes how a bundle runs.
*/
import {test} from 'tap';
import {chooseChunk} from '../src/choose-chunk.ts';
import {findSettingsFile} from '../src/find-settings-file.ts';
import {readChunk} from '../src/read-chunk.ts';

for (const [command, name] of [
	['gateway', 'gateway'],
	['gateway --settings a.toml', 'gateway'],
	['gateway --help', 'program'],
	['gateway --settings a.toml --more', 'program'],
	['gateway --settings', 'program'],
	['status', 'program'],
	['', 'program'],
] as const) {
	test(`${JSON.stringify(command)} is run by the ${name} chunk`, t => {
		t.equal(chooseChunk(command === '' ? [] : command.split(' ')), name);
		t.end();
	});
}

test('the settings file is the argument after its option', t => {
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

test('a bundle is loaded with its code cache, and without it if the cache is of another bundle', async t => {
	const first = readChunk({name: 'small', source, cachedData: undefined});
	t.equal(await first.chunk.run(['/a/bcd']), 3);
	const cachedData = first.createCache();
	t.equal(await readChunk({name: 'small', source, cachedData}).chunk.run(['/a/bcd']), 3);
	t.equal(await readChunk({name: 'small', source: `${source};`, cachedData}).chunk.run(['/a/bcd']), 3);
});

test('requiring a missing optional dependency throws MODULE_NOT_FOUND', t => {
	const {chunk} = readChunk({name: 'small', source, cachedData: undefined});
	t.equal((chunk as unknown as {tryOptional: () => string}).tryOptional(), 'MODULE_NOT_FOUND');
	t.end();
});
