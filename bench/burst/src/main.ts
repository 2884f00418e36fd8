/**
 Compares dispatch by pool with each node alone. Arguments: words that a scenario's name must hold to be run, none runs
 all; `--mode=pool` or `--mode=alone` runs only one of the two. Prints a table and writes `bench/results/burst.json` and `burst.svg`.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {createScenarios} from './create-scenarios.ts';
import type {DispatchMode} from './dispatch-mode.ts';
import {drawRows} from './draw-rows.ts';
import {formatRows} from './format-rows.ts';
import type {Row} from './row.ts';
import {runScenario} from './run-scenario.ts';

const modeOption = '--mode=';
const allModes: readonly DispatchMode[] = ['alone', 'pool'];
const wanted = process.argv.slice(2).filter(word => !word.startsWith(modeOption));
const modes = allModes.filter(mode => process.argv.every(word => !word.startsWith(modeOption) || word === `${modeOption}${mode}`));
const results = path.resolve(import.meta.dirname, '../../results');
const rows: Row[] = [];
const scenarios = createScenarios().filter(scenario => wanted.every(word => scenario.name.includes(word)));
const name = wanted.length === 0 ? 'burst' : 'burst-part';
await mkdir(results, {recursive: true});
for (const scenario of scenarios) {
	for (const mode of modes) {
		// eslint-disable-next-line no-await-in-loop -- one at a time, so that they do not disturb each other
		const row = await runScenario(scenario, mode);
		rows.push(row);
		// eslint-disable-next-line no-await-in-loop -- what was measured is kept if a later row fails
		await writeFile(path.join(results, `${name}.json`), JSON.stringify(rows, undefined, '\t'));
		process.stdout.write(`${formatRows([row]).split('\n').at(-1)}\n`);
	}
}

await writeFile(path.join(results, `${name}.svg`), await drawRows(rows));
process.stdout.write(`\n${formatRows(rows)}\n`);
process.exit();
