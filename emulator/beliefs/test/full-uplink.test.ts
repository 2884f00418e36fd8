import {test} from 'tap';
import {createDefaultSettings, runPropagation, type PropagationOptions} from '@valvesaddle/emulator-beliefs';

/**
Time in which a change has to be believed everywhere at this size, in milliseconds; `docs/DEVELOPERS.md` allows 4 s at 380
nodes.
*/
const boundMs = 3000;
/**
Time after which the uplinks of relays have been full for seconds, in milliseconds.
*/
const loadedMs = 6000;
/**
An uplink of 10 Mbit/s.
*/
const uplinkBytesPerMs = 1250;

const fleet: Omit<PropagationOptions, 'seed'> = {
	nodes: 40,
	dataCentres: ['a', 'b', 'c'],
	endpoints: 110,
	lengthMs: loadedMs + 4500,
	settings: createDefaultSettings({loadUpdateMs: 20}),
	links: {
		nearMs: 0.5, farMs: 1.4, jitterShare: 0.3, lossShare: 0, uplinkBytesPerMs,
	},
	loadUpdates: {loads: 5, placements: 2},
	changes: [
		{kind: 'configuration', atMs: loadedMs},
		{kind: 'endpoint-draining', atMs: loadedMs + 100, endpoint: 3},
		{kind: 'endpoint-removed', atMs: loadedMs + 200, endpoint: 4},
		{kind: 'configuration', atMs: loadedMs + 1000},
	],
	faults: [],
};

/**
In a fleet of 87 nodes some answered 404 for routes that had been added seconds before. Each relay told each of its members of
everybody's work 17 times a second, whether or not what it had sent before had left. On relays with an uplink of 10 Mbit/s this
was up to 3.0 MB/s where 1.25 MB/s pass, so the queue grew by more than half a second each second, and a new configuration
waited at its end. Heartbeats waited there too, and said "confirmed 0 ms ago" when they came, so no member turned elsewhere.

The lines that settled it: the four followers of the store had version 13 at 2.32 s, and the 60 members of the six relays with
200 Mbit/s by 2.67 s; a relay with 10 Mbit/s had it at 3.11 s, its members at 11.9 to 12.6 s, and those of two others never. With
200 Mbit/s for all and nothing else changed, all 87 nodes had it at 2.63 s.
*/
test('a change reaches every member of a relay whose uplink takes less than all that could be told of work', async t => {
	const report = await runPropagation({...fleet, seed: 1});
	for (const {kind, subject, writtenAtMs, lastAtMs, missing} of report.changes) {
		t.same(missing, [], `${kind} ${subject} is believed everywhere`);
		t.ok(lastAtMs - writtenAtMs <= boundMs, `${kind} ${subject}: the last node had it after ${lastAtMs - writtenAtMs} ms`);
	}
});
