/**
 Measures what the router adds to a direct call of the same engine: time to the first token and token throughput, with
 direct and routed rounds in turn.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Agent} from 'undici';
import {
	findPercentile,
	formatTable,
	readProcessUsage,
	startBenchFleet,
} from '@valvesaddle/bench-harness';
import {createDemoConfiguration} from '@valvesaddle/fake-fleet';
import {readAnswer} from './read-answer.ts';
import type {Sample} from './sample.ts';

const concurrency = [1, 8, 32];
const rounds = 20;
/**
Requests before the first measured one, so that both ways run optimised code.
*/
const warmUpRequests = 600;
const tokens = 100;
const engine = {
	batch: 64, stepMs: 10, stepMsPerRequest: 0, prefillMsPerToken: 0,
};

const fleet = await startBenchFleet({nodes: 3, engines: [engine], settings: {dispatch: {warmup_ms: 1}}});
const demo = createDemoConfiguration({engineUrls: fleet.standIns.engines, serviceUrl: fleet.standIns.service});
await fleet.apply({...demo, endpoints: demo.endpoints.map(endpoint => ({...endpoint, initialLimit: 64}))});
const agent = new Agent();
const direct = fleet.standIns.engines[0]!;
const routed = fleet.nodes.map(({callers}) => `http://${callers}`);
const rows: string[][] = [];

async function runRound(urls: readonly string[], count: number): Promise<readonly Sample[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => readAnswer({url: urls[index % urls.length]!, tokens, agent})));
}

for (let sent = 0; sent < warmUpRequests; sent += 32) {
	// eslint-disable-next-line no-await-in-loop -- bounds how many are open
	await runRound([direct, ...routed], 32);
}

for (const count of concurrency) {
	const directSamples: Sample[] = [];
	const routedSamples: Sample[] = [];
	// eslint-disable-next-line no-await-in-loop -- warms both ways up
	await runRound([direct, ...routed], count * 2);
	for (let round = 0; round < rounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- in turn, so that the machine's speed is the same for both
		directSamples.push(...await runRound([direct], count));
		// eslint-disable-next-line no-await-in-loop -- in turn, so that the machine's speed is the same for both
		routedSamples.push(...await runRound(routed, count));
	}

	const getFirst = (samples: readonly Sample[], part: number): number => findPercentile(samples.map(({firstTokenMs}) => firstTokenMs), part);
	const getRate = (samples: readonly Sample[]): number => findPercentile(samples.map(sample => sample.tokens / sample.wholeMs), 0.5);
	rows.push([
		String(count),
		...[0.5, 0.99].flatMap(part => [getFirst(directSamples, part).toFixed(1), getFirst(routedSamples, part).toFixed(1), (getFirst(routedSamples, part) - getFirst(directSamples, part)).toFixed(1)]),
		`${((getRate(routedSamples) / getRate(directSamples)) * 100).toFixed(1)} %`,
	]);
}

const usages = await Promise.all(fleet.nodes.map(async node => readProcessUsage(node.process.pid)));
const table = formatTable(['at once', 'direct p50, ms', 'routed p50', 'added', 'direct p99', 'routed p99', 'added', 'tokens/s, routed over direct'], rows);
const memory = `Resident memory of a node after the run: ${usages.map(({residentBytes}) => `${(residentBytes / 1e6).toFixed(0)} MB`).join(', ')}.`;
const results = path.resolve(import.meta.dirname, '../../results');
await mkdir(results, {recursive: true});
await writeFile(path.join(results, 'overhead.md'), `${table}\n\n${memory}\n`);
process.stdout.write(`${table}\n\n${memory}\n`);
await agent.destroy();
await fleet.close();
process.exit();
