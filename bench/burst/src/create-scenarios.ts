import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {setControl, type BenchFleet} from '@valvesaddle/bench-harness';
import {fleetKeys} from '@valvesaddle/fake-fleet';
import type {LoadClass, LoadPlan} from '@valvesaddle/load';
import {createOperatorClient} from '@valvesaddle/operator-client';
import {engineModel} from './engine-model.ts';
import type {Scenario} from './scenario.ts';

const engineCount = 8;
/**
Requests per second that the engines carry at 52 ms a token: 8 engines x 33 requests / 52 ms / 144 tokens.
*/
const capacityPerSecond = 35;
const lengthMs = 24_000;
const disturbedAfterMs = 8000;
const frozenMs = 5000;
const slowness = '10';

const classes: readonly LoadClass[] = [
	{
		className: 'gate', part: 0.2, meanTokens: 20, firstTokenTargetMs: 830,
	},
	{
		className: 'route', part: 0.3, meanTokens: 60, firstTokenTargetMs: 3000,
	},
	{
		className: 'estimate', part: 0.5, meanTokens: 300, firstTokenTargetMs: 8000,
	},
];

function createPlan(loadFactor: number, loadClasses: readonly LoadClass[] = classes): LoadPlan {
	return {
		classes: loadClasses,
		accounts: [
			{name: 'sawmill', key: fleetKeys.caller, part: 0.85},
			{name: 'depot', key: fleetKeys.otherCaller, part: 0.15},
		],
		requestsPerSecond: capacityPerSecond * loadFactor,
		lengthMs,
		interTokenTargetMs: 52,
		patienceMs: 35_000,
		seed: 7,
	};
}

function addBurst(className: string, factor: number): readonly LoadClass[] {
	return classes.map(loadClass => loadClass.className === className
		? {...loadClass, burst: {factor, fromMs: 4000, toMs: 20_000}}
		: loadClass);
}

/**
The node that dispatches the pool, or any while none does.
*/
async function findDispatching(fleet: BenchFleet): Promise<BenchFleet['nodes'][number]> {
	for (const node of fleet.nodes) {
		const client = createOperatorClient({url: `http://${node.operators}`, token: fleetKeys.editor});
		// eslint-disable-next-line no-await-in-loop -- one node after the other
		const {pools} = await client.getStatus({});
		if (pools.some(({pool}) => pool === 'drafting')) {
			return node;
		}
	}

	return fleet.nodes[0]!;
}

/**
 The rows of the comparison: loads shaped on the users', and failures under load.

 @example
 createScenarios().map(({name}) => name);
 */
export function createScenarios(): readonly Scenario[] {
	const engines = Array.from({length: engineCount}, () => engineModel);
	const unequal = engines.map((engine, index) => ({...engine, stepMs: index % 2 === 0 ? 12 : 36, reportLagMs: 2000}));
	return [
		{name: 'steady, 0.7 of capacity', engines, plan: createPlan(0.7)},
		{name: 'burst over capacity, 2x', engines, plan: createPlan(2)},
		{name: '3x burst of estimates alone', engines, plan: createPlan(0.8, addBurst('estimate', 3))},
		{name: '6x burst of gate checks alone', engines, plan: createPlan(0.8, addBurst('gate', 6))},
		{name: 'unequal engines, reports 2 s late', engines: unequal, plan: createPlan(0.9)},
		{
			name: 'a straggler at a tenth of its speed',
			engines,
			plan: createPlan(0.8),
			async disturb(fleet) {
				await delay(disturbedAfterMs);
				await setControl(fleet.standIns.engines[0]!, 'slowness', slowness);
			},
		},
		{
			name: 'an engine crashes',
			engines,
			plan: createPlan(0.8),
			async disturb(fleet) {
				await delay(disturbedAfterMs);
				await setControl(fleet.standIns.engines[0]!, 'fault', 'fail');
				await setControl(fleet.standIns.engines[0]!, 'crash', '');
			},
		},
		{
			name: 'an engine freezes with its connections open',
			engines,
			plan: createPlan(0.8),
			async disturb(fleet) {
				await delay(disturbedAfterMs);
				await setControl(fleet.standIns.engines[0]!, 'fault', 'freeze');
			},
		},
		{
			name: 'the dispatching node freezes for 5 s',
			engines,
			plan: createPlan(0.8),
			async disturb(fleet) {
				await delay(disturbedAfterMs);
				const {process: frozen} = await findDispatching(fleet);
				process.kill(frozen.pid, 'SIGSTOP');
				await delay(frozenMs);
				process.kill(frozen.pid, 'SIGCONT');
			},
		},
		{
			name: 'the dispatching node is killed',
			engines,
			plan: createPlan(0.8),
			async disturb(fleet) {
				await delay(disturbedAfterMs);
				const node = await findDispatching(fleet);
				await node.process.kill();
			},
		},
	];
}
