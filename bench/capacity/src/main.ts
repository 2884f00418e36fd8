/**
 Measures the slopes behind docs/CAPACITY.md. Arguments: names of measurements; none runs all. Prints Markdown and writes
 it to `bench/results/capacity-<name>.md`.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import type {Measurement} from './measurement.ts';
import {measureClaims} from './measure-claims.ts';
import {measureConfiguration} from './measure-configuration.ts';
import {measureDecisions} from './measure-decisions.ts';
import {measureFleet} from './measure-fleet.ts';
import {measureGateways} from './measure-gateways.ts';
import {measureGrants} from './measure-grants.ts';
import {measureMemory} from './measure-memory.ts';

const measurements: Readonly<Record<string, Measurement>> = {
	decisions: measureDecisions,
	memory: measureMemory,
	claims: measureClaims,
	configuration: measureConfiguration,
	grants: measureGrants,
	fleet: measureFleet,
	gateways: measureGateways,
};
const results = path.resolve(import.meta.dirname, '../../results');
await mkdir(results, {recursive: true});
const wanted = process.argv.length > 2 ? process.argv.slice(2) : Object.keys(measurements);
for (const name of wanted) {
	const measure = measurements[name];
	if (measure === undefined) {
		process.stderr.write(`there is no measurement "${name}"; choose of ${Object.keys(measurements).join(', ')}\n`);
		process.exit(2);
	}

	// eslint-disable-next-line no-await-in-loop -- one at a time, so that they do not disturb each other
	const text = await measure();
	process.stdout.write(`## ${name}\n\n${text}\n\n`);
	// eslint-disable-next-line no-await-in-loop -- one at a time, so that they do not disturb each other
	await writeFile(path.join(results, `capacity-${name}.md`), `${text}\n`);
}

process.exit();
