import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'tap';
import {formatTable, parseExperiment, runVariant} from '@valvesaddle/bench-experiment';

test('the experiment files that are shipped can be read', async t => {
	const text = await readFile(path.resolve(import.meta.dirname, '../files/overload.toml'), 'utf8');
	const {seeds, variants} = parseExperiment(text)._unsafeUnwrap();
	t.equal(seeds, 8);
	t.equal(variants['no-refusals']?.wait_factor, 1000);
	t.equal(variants.all?.wait_factor, 0.5);
});

test('each experiment file that is shipped can be read', async t => {
	const directory = path.resolve(import.meta.dirname, '../files');
	for (const file of await readdir(directory)) {
		// eslint-disable-next-line no-await-in-loop -- files are read sequentially
		t.ok(parseExperiment(await readFile(path.join(directory, file), 'utf8')).isOk(), file);
	}
});

test('a wrong file is refused with the key and the line of each fault', t => {
	const cases: ReadonlyArray<readonly [text: string, message: RegExp]> = [
		['load = "drafts-beside-queries"\nseeds = 0\n[variants.all]', /seeds \(line 2\)/v],
		['load = "unknown"\n[variants.all]', /load \(line 1\)/v],
		['load = "drafts-beside-queries"\n[variants.all]\nharm = 1', /variants\.all\.harm \(line 3\)/v],
		['load = "drafts-beside-queries"\n[variants]', /at least one variant/v],
		['load = ', /./v],
	];
	for (const [text, message] of cases) {
		t.match(parseExperiment(text)._unsafeUnwrapErr().message, message);
	}

	t.end();
});

test('a variant reports the same figures each time, with their spread over seeds', t => {
	const {variants: {all}} = parseExperiment('load = "drafts-beside-faults"\n[variants.all]\nnodes = 2')._unsafeUnwrap();
	const seeds: number[] = [];
	const run = () => runVariant({
		name: 'all', load: 'drafts-beside-queries', seeds: 2, variant: all!, onSeed(seed) {
			seeds.push(seed);
		},
	});
	const report = run();
	t.same(run(), report);
	t.same(seeds, [1, 2, 1, 2]);
	t.ok(report.figures.worth!.least < report.figures.worth!.mean);
	t.match(formatTable([report]), /\| worth \| 0\.\d{3} \(0\.\d{3} to 0\.\d{3}\) \|/v);
	t.end();
});
