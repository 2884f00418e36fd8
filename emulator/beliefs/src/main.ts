/**
 Prints how long changes take to reach the last node of a fleet, without faults and under each fault; the worst of some seeds:
 `node emulator/beliefs/src/main.ts --nodes 87 --endpoints 300 --data-centres 4 --seeds 5 --fault 'relay lost'`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createDefaultSettings} from './create-default-settings.ts';
import {runPropagation} from './run-propagation.ts';
import type {PropagationChange} from './propagation-change.ts';
import type {PropagationFault} from './propagation-fault.ts';

type Case = {
	readonly name: string;
	readonly faults: readonly PropagationFault[];
	/**
	Delays are measured from this time at the earliest, in milliseconds.
	*/
	readonly fromMs?: number;
	readonly lossShare?: number;
};

/**
Times at which the fleet has formed, the fault starts and the run ends, in milliseconds after the start.
*/
const formedMs = 8000;
const faultAtMs = formedMs + 2000;
const lengthMs = formedMs + 14_000;
/**
Time in which watches deliver no events, in milliseconds. Most watches that started after the change at `formedMs` end in it.
*/
const quietMs = 1300;
const links = {
	nearMs: 0.5, farMs: 12, jitterShare: 0.3, lossShare: 0,
};
const changes: readonly PropagationChange[] = [
	{kind: 'configuration', atMs: formedMs},
	{kind: 'configuration', atMs: faultAtMs + 600},
	{kind: 'endpoint-draining', atMs: faultAtMs + 650, endpoint: 3},
	{kind: 'endpoint-removed', atMs: faultAtMs + 700, endpoint: 4},
];
const cases: readonly Case[] = [
	{name: 'calm', faults: []},
	{name: 'lossy links', faults: [], lossShare: 0.05},
	{name: 'watches heard nothing', faults: [{kind: 'store-quiet', atMs: faultAtMs, forMs: quietMs}], fromMs: faultAtMs + quietMs},
	{name: 'watches cut in time', faults: [{kind: 'store-quiet', atMs: faultAtMs, forMs: 900}], fromMs: faultAtMs + 900},
	{
		name: 'state unanswered', fromMs: faultAtMs + 900, faults: [
			{kind: 'state-unanswered', atMs: faultAtMs, target: {role: 'relay', nth: 0}},
			{kind: 'store-quiet', atMs: faultAtMs, forMs: 900},
		],
	},
	{
		name: 'relay lost', faults: [{
			kind: 'node-lost', atMs: faultAtMs + 500, how: 'silence', target: {role: 'relay', nth: 0},
		}],
	},
	{
		name: 'follower lost', faults: [{
			kind: 'node-lost', atMs: faultAtMs + 500, how: 'silence', target: {role: 'follower', nth: 0},
		}],
	},
	{
		name: 'store refuses a third', faults: [{
			kind: 'store-refuses', atMs: faultAtMs, forMs: 6000, how: 'silence', share: 0.33,
		}],
	},
	{
		name: 'store refuses most', faults: [{
			kind: 'store-refuses', atMs: faultAtMs, forMs: 6000, how: 'reset', share: 0.8,
		}],
	},
	{
		name: 'store refuses its followers', faults: [{
			kind: 'store-refuses', atMs: faultAtMs, forMs: 6000, how: 'reset', share: 'followers',
		}],
	},
	{
		name: 'node restarted', faults: [{
			kind: 'node-restarted', atMs: faultAtMs, forMs: 400, target: {role: 'follower', nth: 0},
		}],
	},
	{
		name: 'store slow', faults: [{
			kind: 'store-slow', atMs: faultAtMs, forMs: 6000, addedMs: 300,
		}],
	},
	{
		name: 'store back before', faults: [{
			kind: 'store-down', atMs: faultAtMs - 1000, forMs: 1500, how: 'reset',
		}],
	},
];

const {values: {nodes, endpoints, seeds, 'data-centres': dataCentres, fault}} = parseArgs({
	options: {
		nodes: {type: 'string', default: '87'},
		endpoints: {type: 'string', default: '300'},
		'data-centres': {type: 'string', default: '4'},
		seeds: {type: 'string', default: '3'},
		fault: {type: 'string', default: ''},
	},
});
const settings = createDefaultSettings({loadUpdateMs: 400});
const chosen = cases.filter(({name}) => name.includes(fault));

for (const {name, faults, fromMs = 0, lossShare = 0} of chosen) {
	const delays = new Map<string, {worstMs: number; missing: number}>();
	const totals = {states: 0, bytes: 0};
	for (let seed = 1; seed <= Number(seeds); seed++) {
		// eslint-disable-next-line no-await-in-loop -- the clock of the runtime is paused for one run at a time
		const report = await runPropagation({
			nodes: Number(nodes),
			dataCentres: Array.from({length: Number(dataCentres)}, (_value, index) => `dc-${index}`),
			endpoints: Number(endpoints),
			lengthMs,
			seed,
			links: {...links, lossShare},
			changes,
			faults,
			settings,
		});
		totals.states += report.statesFromPeers;
		totals.bytes += report.bytesSent;
		for (const {kind, subject, writtenAtMs, lastAtMs, missing} of report.changes) {
			const key = `${kind} ${subject}`;
			const before = delays.get(key) ?? {worstMs: 0, missing: 0};
			delays.set(key, {
				worstMs: Math.max(before.worstMs, lastAtMs - Math.max(writtenAtMs, fromMs)), missing: Math.max(before.missing, missing.length),
			});
		}
	}

	const summary = delays.entries().map(([key, {worstMs, missing}]) => `${key} ${worstMs} ms${missing > 0 ? `, never at ${missing} nodes` : ''}`).toArray();
	process.stdout.write(`${name}: ${summary.join('; ')}; full states ${totals.states}, bytes ${totals.bytes}\n`);
}
