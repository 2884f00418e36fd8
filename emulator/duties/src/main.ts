import process from 'node:process';
import {parseArgs} from 'node:util';
import {drawFaults} from './draw-faults.ts';
import {runDuties} from './run-duties.ts';

/**
Runs duties from the command line: seeds `--first` to `--first` + `--seeds`.
*/
const {values} = parseArgs({options: {seeds: {type: 'string', default: '100'}, first: {type: 'string', default: '1'}}});
let broken = 0;
let calls = 0;
for (let seed = Number(values.first); seed < Number(values.first) + Number(values.seeds); seed++) {
	const faults = drawFaults(seed);
	// eslint-disable-next-line no-await-in-loop -- one run after the other
	const report = await runDuties({seed, faults});
	calls += report.calls;
	if (report.violations.length === 0) {
		continue;
	}

	broken++;
	console.log(`seed ${seed}: ${report.violations.join('; ')}`);
	console.log(`  ${faults.map(({kind, node, at, until}) => `${kind} ${node} ${at}-${until}`).join(', ')}`);
}

console.log(`${values.seeds} seeds, ${calls} calls, ${broken} with a broken rule`);
process.exitCode = broken > 0 ? 1 : 0;
