import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
import {createBalancer} from './create-balancer.ts';
import type {LoadPlan} from './load-plan.ts';
import type {LoadResult} from './load-result.ts';
import {planArrivals} from './plan-arrivals.ts';
import {runRequest} from './run-request.ts';

/**
 Sends a load to the nodes and waits for all its answers, up to the plan's patience.

 @example
 const results = await runLoad(plan, ['127.0.0.1:7100']);
 */
export async function runLoad(plan: LoadPlan, addresses: readonly string[]): Promise<readonly LoadResult[]> {
	const agent = new Agent({headersTimeout: 0, bodyTimeout: 0, connectTimeout: 1000});
	const balancer = createBalancer(addresses);
	const startedAt = performance.now();
	const signal = AbortSignal.timeout(plan.lengthMs + plan.patienceMs);
	const running: Array<Promise<LoadResult>> = [];
	for (const arrival of planArrivals(plan)) {
		const pauseMs = arrival.at - (performance.now() - startedAt);
		if (pauseMs > 0) {
			// eslint-disable-next-line no-await-in-loop -- arrivals come at their times
			await delay(pauseMs);
		}

		running.push(runRequest({
			arrival, plan, balancer, agent, signal,
		}));
	}

	const results = await Promise.all(running);
	balancer.close();
	await agent.destroy();
	return results;
}
