/**
 Runs an experiment from its TOML file; prints a table, and with `--json FILE` writes the figures. Variants that were run
 before a stop stay readable in that file.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatTable} from './format-table.ts';
import {parseExperiment} from './parse-experiment.ts';
import {runVariant} from './run-variant.ts';
import type {VariantReport} from './variant-report.ts';

const {values: {json}, positionals} = parseArgs({allowPositionals: true, options: {json: {type: 'string'}}});
const [file = ''] = positionals;
const parsed = parseExperiment(await readFile(file, 'utf8'));
if (parsed.isErr()) {
	console.error(parsed.error.message);
	process.exit(1);
}

const {load, seeds, variants} = parsed.value;
const reports: VariantReport[] = [];
for (const [name, variant] of Object.entries(variants)) {
	reports.push(runVariant({
		name, load, seeds, variant, onSeed(seed) {
			process.stderr.write(`\r${name}: ${seed} of ${seeds} seeds `);
		},
	}));
	if (json !== undefined) {
		// eslint-disable-next-line no-await-in-loop -- what was run stays readable
		await writeFile(json, `${JSON.stringify(reports, undefined, '\t')}\n`);
	}
}

process.stderr.write('\n');
console.log(formatTable(reports));
