import {test} from 'tap';
import {createDefaultSettings, runPropagation, type PropagationOptions} from '@valvesaddle/emulator-beliefs';

/**
Maximum time until every node has applied a change, in milliseconds; `docs/DEVELOPERS.md` allows 4 s at 380 nodes.
*/
const boundMs = 3000;
/**
Time by which the uplinks of relays have been saturated for seconds, in milliseconds.
*/
const saturatedMs = 6000;
/**
An uplink of 10 Mbit/s.
*/
const uplinkBytesPerMs = 1250;

const fleet: Omit<PropagationOptions, 'seed'> = {
	nodes: 40,
	dataCentres: ['a', 'b', 'c'],
	endpoints: 110,
	lengthMs: saturatedMs + 4500,
	settings: createDefaultSettings({loadUpdateMs: 20}),
	links: {
		nearMs: 0.5, farMs: 1.4, jitterShare: 0.3, lossShare: 0, uplinkBytesPerMs,
	},
	loadUpdates: {loads: 5, placements: 2},
	changes: [
		{kind: 'configuration', atMs: saturatedMs},
		{kind: 'endpoint-draining', atMs: saturatedMs + 100, endpoint: 3},
		{kind: 'endpoint-removed', atMs: saturatedMs + 200, endpoint: 4},
		{kind: 'configuration', atMs: saturatedMs + 1000},
	],
	faults: [],
};

/**
Guards against relays that send load updates faster than their uplink allows, so that changes and heartbeats are delayed behind
a growing queue.
*/
test('a change reaches every member of a relay whose uplink is too slow for all load updates', async t => {
	const report = await runPropagation({...fleet, seed: 1});
	for (const {kind, subject, writtenAtMs, lastAtMs, missing} of report.changes) {
		t.same(missing, [], `${kind} ${subject} is applied on every node`);
		t.ok(lastAtMs - writtenAtMs <= boundMs, `${kind} ${subject}: the last node applied it after ${lastAtMs - writtenAtMs} ms`);
	}
});
