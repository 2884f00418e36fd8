import {startBenchFleet} from '@valvesaddle/bench-harness';
import {createDemoConfiguration} from '@valvesaddle/fake-fleet';
import {runLoad, summarizeLoad, type LoadPlan} from '@valvesaddle/load';
import type {Configuration} from '@valvesaddle/types';
import {request} from 'undici';
import type {DispatchMode} from './dispatch-mode.ts';
import type {Row} from './row.ts';
import type {Scenario} from './scenario.ts';

const nodes = 3;
const initialLimit = 24;
const warmUpMs = 4000;
const warmUpPerSecond = 60;
const warmUpTokens = 10;

type Counts = {
	readonly tokens: number;
};

/**
 Runs one scenario in one mode with real node processes.

 @example
 const row = await runScenario(scenario, 'pool');
 */
export async function runScenario(scenario: Scenario, mode: DispatchMode): Promise<Row> {
	const fleet = await startBenchFleet({nodes, engines: scenario.engines, settings: {dispatch: {mode}}});
	try {
		const addresses = fleet.nodes.map(({callers}) => callers);
		const configuration = createDemoConfiguration({engineUrls: fleet.standIns.engines, serviceUrl: fleet.standIns.service});
		await fleet.apply(withTargets(configuration, scenario));
		await runLoad(createWarmUp(scenario.plan), addresses);
		const before = await countGenerated(fleet.standIns.engines);
		const disturbing = scenario.disturb?.(fleet);
		const results = await runLoad(scenario.plan, addresses);
		await disturbing;
		const generated = await countGenerated(fleet.standIns.engines) - before;
		return {scenario: scenario.name, mode, summary: summarizeLoad(scenario.plan, results, generated)};
	} finally {
		await fleet.close();
	}
}

/**
Classes as the load names them; each may wait as long as its target leaves room for the prefill.
*/
function withTargets(configuration: Configuration, {plan}: Scenario): Configuration {
	return {
		...configuration,
		classes: configuration.classes.map(requestClass => {
			const {firstTokenTargetMs} = plan.classes.find(({className}) => className === requestClass.name) ?? requestClass;
			return {...requestClass, firstTokenTargetMs, maximumWaitMs: firstTokenTargetMs * (requestClass.urgent ? 5 : 0.9)};
		}),
		endpoints: configuration.endpoints.map(endpoint => ({...endpoint, initialLimit})),
	};
}

/**
A short light load before the measured one: connections are open and code is optimised, as in a running fleet.
*/
function createWarmUp(plan: LoadPlan): LoadPlan {
	return {
		...plan,
		classes: plan.classes.map(({burst, ...loadClass}) => ({...loadClass, meanTokens: warmUpTokens})),
		requestsPerSecond: warmUpPerSecond,
		lengthMs: warmUpMs,
		seed: plan.seed + 1,
	};
}

async function countGenerated(engines: readonly string[]): Promise<number> {
	let tokens = 0;
	for (const url of engines) {
		// eslint-disable-next-line no-await-in-loop -- one engine after the other
		const response = await request(`${url}/counts`);
		// eslint-disable-next-line no-await-in-loop -- one engine after the other
		const counts = await response.body.json() as Counts;
		tokens += counts.tokens;
	}

	return tokens;
}
