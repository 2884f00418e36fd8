import process from 'node:process';
import {parseArgs} from 'node:util';
import {drawFaults} from './draw-faults.ts';
import {runDuties} from './run-duties.ts';

/**
Runs the duties with `--seeds` consecutive seeds from `--first`; exits with 1 on a violation.
*/
const {values} = parseArgs({options: {seeds: {type: 'string', default: '100'}, first: {type: 'string', default: '1'}}});
let failedSeeds = 0;
let calls = 0;
for (let seed = Number(values.first); seed < Number(values.first) + Number(values.seeds); seed++) {
	const faults = drawFaults(seed);
	// eslint-disable-next-line no-await-in-loop -- seeds run in turn
	const report = await runDuties({seed, faults});
	calls += report.calls;
	if (report.violations.length === 0) {
		continue;
	}

	failedSeeds++;
	console.log(`seed ${seed}: ${report.violations.join('; ')}`);
	console.log(`  ${faults.map(({kind, node, at, until}) => `${kind} ${node} ${at}-${until}`).join(', ')}`);
}

console.log(`${values.seeds} seeds, ${calls} calls, ${failedSeeds} with violations`);
process.exitCode = failedSeeds > 0 ? 1 : 0;
