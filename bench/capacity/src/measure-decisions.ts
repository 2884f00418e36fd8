import process from 'node:process';
import {findPercentile, formatTable} from '@valvesaddle/bench-harness';
import type {Grant} from '@valvesaddle/messages';
import {createBenchDispatcher} from './create-bench-dispatcher.ts';

const limit = 2;
const rounds = 2000;
const warmUpRounds = 500;
const sizes: ReadonlyArray<readonly [endpoints: number, waiting: number]> = [
	[10, 0], [10, 10_000], [50, 10_000], [250, 0], [250, 10_000], [1000, 10_000], [3500, 10_000],
];

/**
 Measures what one decision costs: a grant given back and the next waiting request placed, on a full pool.

 @example
 console.log(await measureDecisions());
 */
export async function measureDecisions(): Promise<string> {
	const rows: string[][] = [];
	for (const [endpoints, waiting] of sizes) {
		// eslint-disable-next-line no-await-in-loop -- one size after the other
		const times = await measureTimes(endpoints, waiting);
		rows.push([String(endpoints), String(waiting), ...[0.5, 0.99].map(part => `${(findPercentile(times, part) / 1000).toFixed(1)} us`)]);
	}

	return formatTable(['endpoints', 'waiting', 'p50', 'p99'], rows);
}

async function measureTimes(endpoints: number, waiting: number): Promise<readonly number[]> {
	const {dispatcher, createRequest} = createBenchDispatcher({endpoints, limit});
	const granted: Grant[] = [];
	let number = 0;
	const ask = (): void => {
		void dispatcher.acquire(createRequest(number++)).then(reply => {
			if (reply.kind === 'granted') {
				granted.push(reply.grant);
			}
		});
	};

	for (let count = 0; count < (endpoints * limit) + waiting; count++) {
		ask();
	}

	await settle();
	const times: number[] = [];
	for (let round = 0; round < rounds + warmUpRounds; round++) {
		const grant = granted.shift();
		const startedAt = process.hrtime.bigint();
		ask();
		if (grant !== undefined) {
			dispatcher.release({
				grantId: grant.grantId, duty: 'drafting', outcome: 'complete', tokens: 100, firstTokenMs: 100, interTokenMs: 50,
			});
		}

		const elapsed = Number(process.hrtime.bigint() - startedAt);
		if (round >= warmUpRounds) {
			times.push(elapsed);
		}

		// eslint-disable-next-line no-await-in-loop -- lets the grant arrive
		await settle();
	}

	return times;
}

async function settle(): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	setImmediate(resolve);
	await promise;
}
