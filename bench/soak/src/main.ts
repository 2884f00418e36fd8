import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from './run-soak.ts';
import type {SoakResult} from './soak-result.ts';

/**
Runs the soak from the command line: one seed, or seeds 1 to `--seeds`.
*/
const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seeds: {type: 'string'},
		seconds: {type: 'string', default: '12'},
		nodes: {type: 'string', default: '3'},
		callers: {type: 'string', default: '12'},
	},
});

function writeResult({seed, breaches, observation, folder}: SoakResult): void {
	const {attempts, faults} = observation;
	const served = attempts.filter(({status, isWhole}) => status === 200 && isWhole).length;
	console.log(`seed ${seed}: ${attempts.length} attempts, ${served} served, ${faults.length} faults, ${breaches.length} promises broken${breaches.length > 0 ? `, logs in ${folder}` : ''}`);
	for (const {promise, detail} of breaches.slice(0, 10)) {
		console.log(`  ${promise}: ${detail}`);
	}

	for (const {kind, at, until, target} of breaches.length > 0 ? faults : []) {
		console.log(`  ${at} to ${until} ms: ${kind} ${target}`);
	}
}

const first = values.seeds === undefined ? Number(values.seed) : 1;
const last = values.seeds === undefined ? first : Number(values.seeds);
let broken = 0;
for (let seed = first; seed <= last; seed++) {
	// eslint-disable-next-line no-await-in-loop -- one run after the other
	const result = await runSoak({
		seed, seconds: Number(values.seconds), nodes: Number(values.nodes), callers: Number(values.callers),
	});
	writeResult(result);
	broken += result.breaches.length > 0 ? 1 : 0;
}

console.log(`${last - first + 1} seeds, ${broken} with a broken promise`);
process.exitCode = broken > 0 ? 1 : 0;
