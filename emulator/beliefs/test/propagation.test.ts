import {inspect} from 'node:util';
import {test} from 'tap';
import {
	createDefaultSettings,
	runPropagation,
	type PropagationOptions,
	type PropagationReport,
} from '@valvesaddle/emulator-beliefs';

/**
Maximum time until every node has applied a change, in milliseconds; `docs/DEVELOPERS.md` allows 4 s at 380 nodes.
*/
const boundMs = 3000;
/**
Time by which all nodes have started and have their links and leases, in milliseconds.
*/
const formedMs = 4000;

const fleet: Omit<PropagationOptions, 'seed' | 'changes' | 'faults'> = {
	nodes: 40,
	dataCentres: ['a', 'b', 'c', 'd'],
	endpoints: 60,
	lengthMs: formedMs + 6500,
	settings: createDefaultSettings({loadUpdateMs: 400}),
	links: {
		nearMs: 0.5, farMs: 12, jitterShare: 0.3, lossShare: 0,
	},
};

/**
Describes each change that some node applied too late or never.
*/
function listLate({changes}: PropagationReport, fromMs = 0): readonly string[] {
	return changes.flatMap(({kind, subject, writtenAtMs, appliedAtMs, lastAtMs, missing}) => {
		const delayMs = lastAtMs - Math.max(writtenAtMs, fromMs);
		return missing.length > 0 || delayMs > boundMs ? [`${kind} ${subject}: ${appliedAtMs.size} nodes applied it, ${missing.length} never, the last after ${delayMs} ms`] : [];
	});
}

/**
Guards against treating an empty watch result as proof that the node is up to date at the revision of that result: nodes at the
same revision don't request missing changes from each other.
*/
test('changes written while watches deliver no events are applied on every node in time after the watches are interrupted', async t => {
	// After the first configuration the four followers start new watches of 3 s, which end at about the end of the fault: in some
	// runs all watches are interrupted before that, in the last run none is open any more.
	const missed: number[] = [];
	for (const {seed, quietMs} of [
		{seed: 1, quietMs: 1100},
		{seed: 1, quietMs: 1150},
		{seed: 1, quietMs: 1200},
		{seed: 4, quietMs: 1150},
		{seed: 4, quietMs: 1200},
		{seed: 4, quietMs: 1300},
		{seed: 1, quietMs: 1300},
	]) {
		const quietAtMs = formedMs + 2000;
		// eslint-disable-next-line no-await-in-loop -- the clock of the runtime is paused for one run at a time
		const report = await runPropagation({
			...fleet,
			seed,
			changes: [
				{kind: 'configuration', atMs: formedMs},
				{kind: 'configuration', atMs: quietAtMs + 600},
				{kind: 'endpoint-draining', atMs: quietAtMs + 650, endpoint: 3},
				{kind: 'endpoint-removed', atMs: quietAtMs + 700, endpoint: 4},
			],
			faults: [{kind: 'store-quiet', atMs: quietAtMs, forMs: quietMs}],
		});
		missed.push(report.watchesMissed);
		t.same(listLate(report, quietAtMs + quietMs), [], `seed ${seed}, ${quietMs} ms`);
	}

	t.ok(missed.some(count => count > 0), 'some watches ended without the changes');
	t.ok(missed.includes(0), 'in another run none did');
});

/**
Guards against a catch-up call without a timeout: a node that is behind waits for one peer at a time, so a peer that never
answers would keep it behind forever.
*/
test('a peer that never answers a call for its cluster state, while its links work, keeps no node behind', async t => {
	for (const role of ['relay', 'follower'] as const) {
		// All watches are interrupted at once, so changes arrive by lists, and from peers only on request.
		const quietMs = 40;
		const quietAtMs = formedMs + 1000;
		// eslint-disable-next-line no-await-in-loop -- the clock of the runtime is paused for one run at a time
		const report = await runPropagation({
			...fleet,
			seed: 1,
			changes: [
				{kind: 'configuration', atMs: quietAtMs + 10},
				{kind: 'endpoint-draining', atMs: quietAtMs + 15, endpoint: 3},
				{kind: 'endpoint-removed', atMs: quietAtMs + 20, endpoint: 4},
			],
			faults: [
				{kind: 'state-unanswered', atMs: formedMs, target: {role, nth: 0}},
				{kind: 'store-quiet', atMs: quietAtMs, forMs: quietMs},
			],
		});
		t.equal(report.watchesMissed, 0, 'no watch ended without the changes');
		t.same(listLate(report), [], role);
	}
});

/**
Guards against a follower that sends its state as complete while it still holds a pending removal: nodes that apply the state
would keep the endpoint forever.
*/
test('an endpoint removed shortly after the store is reachable again is removed on every node in time', async t => {
	const backAtMs = formedMs + 990;
	for (const seed of [1, 2, 3, 5, 8]) {
		// eslint-disable-next-line no-await-in-loop -- the clock of the runtime is paused for one run at a time
		const report = await runPropagation({
			...fleet,
			seed,
			changes: [
				{kind: 'configuration', atMs: backAtMs + 10},
				{kind: 'endpoint-draining', atMs: backAtMs + 410, endpoint: 3},
				{kind: 'endpoint-removed', atMs: backAtMs + 810, endpoint: 4},
				{kind: 'configuration', atMs: backAtMs + 1510},
			],
			faults: [{
				kind: 'store-down', atMs: formedMs - 500, forMs: 1490, how: 'reset',
			}],
		});
		t.same(listLate(report), [], `seed ${seed}`);
	}
});

/**
Guards against nodes that never call the store themselves: if the age of a confirmation ignored the latency of each heartbeat
that forwards it, it would never expire between relays over slow links.
*/
test('other nodes call the store in time when it refuses all its followers, over slow links', async t => {
	for (const farMs of [12, 40, 80]) {
		// eslint-disable-next-line no-await-in-loop -- the clock of the runtime is paused for one run at a time
		const report = await runPropagation({
			...fleet,
			seed: 1,
			links: {...fleet.links, farMs},
			changes: [{kind: 'configuration', atMs: formedMs + 1000}],
			faults: [{
				kind: 'store-refuses', atMs: formedMs + 900, forMs: 9000, how: 'reset', share: 'followers',
			}],
		});
		t.same(listLate(report), [], `${farMs} ms`);
	}
});

/**
Guards against a follower that confirms a revision without forwarding a change that it already received from another follower:
relays that missed the change would stay at that revision without it.
*/
test('a follower forwards a change with its revision even if it received the change from another follower first', async t => {
	const report = await runPropagation({
		...fleet,
		lengthMs: 17_000,
		seed: 43,
		changes: [
			{kind: 'configuration', atMs: 7394},
			{kind: 'endpoint-draining', atMs: 8692, endpoint: 1},
			{kind: 'configuration', atMs: 8719},
			{kind: 'endpoint-removed', atMs: 9279, endpoint: 5},
			{kind: 'endpoint-draining', atMs: 9389, endpoint: 2},
			{kind: 'endpoint-draining', atMs: 9426, endpoint: 4},
		],
		faults: [
			{
				kind: 'node-lost', atMs: 4668, how: 'silence', target: {role: 'relay', nth: 1},
			},
			{
				kind: 'store-down', atMs: 4639, forMs: 2565, how: 'reset',
			},
		],
	});
	t.same(listLate(report), []);
});

const relay = {role: 'relay', nth: 0} as const;
const follower = {role: 'follower', nth: 0} as const;
const faultAtMs = formedMs + 900;
/**
Faults under which changes must arrive in time, each in its own run.
*/
const faultCases: ReadonlyArray<{readonly name: string; readonly faults: PropagationOptions['faults']; readonly lossShare?: number}> = [
	{name: 'lossy links', faults: [], lossShare: 0.05},
	{
		name: 'a relay that terminates', faults: [{
			kind: 'node-lost', atMs: faultAtMs, how: 'reset', target: relay,
		}],
	},
	{
		name: 'a relay whose VM is lost', faults: [{
			kind: 'node-lost', atMs: faultAtMs, how: 'silence', target: relay,
		}],
	},
	{
		name: 'a follower of the store whose VM is lost', faults: [{
			kind: 'node-lost', atMs: faultAtMs, how: 'silence', target: follower,
		}],
	},
	{
		name: 'a follower of the store and a relay that are restarted', faults: [
			{
				kind: 'node-restarted', atMs: faultAtMs, forMs: 400, target: follower,
			},
			{
				kind: 'node-restarted', atMs: faultAtMs + 700, forMs: 400, target: relay,
			},
		],
	},
	{
		name: 'open links that drop all messages', faults: [{
			kind: 'links-lost', atMs: faultAtMs, how: 'silence', target: follower,
		}],
	},
	{
		name: 'a store that refuses a third of the nodes', faults: [{
			kind: 'store-refuses', atMs: faultAtMs, forMs: 5000, how: 'silence', share: 0.33,
		}],
	},
	{
		name: 'a store that refuses most nodes, over lossy links', faults: [{
			kind: 'store-refuses', atMs: faultAtMs, forMs: 5000, how: 'reset', share: 0.8,
		}], lossShare: 0.05,
	},
	{
		name: 'a partition between two data centres', faults: [{
			kind: 'links-cut', atMs: faultAtMs, forMs: 4000, between: ['a', 'b'],
		}],
	},
];

for (const {name, faults, lossShare = 0} of faultCases) {
	test(`every change is applied on every node in time: ${name}`, async t => {
		const report = await runPropagation({
			...fleet,
			seed: 3,
			links: {...fleet.links, lossShare},
			changes: [
				{kind: 'configuration', atMs: faultAtMs + 100},
				{kind: 'endpoint-draining', atMs: faultAtMs + 500, endpoint: 3},
				{kind: 'endpoint-removed', atMs: faultAtMs + 900, endpoint: 4},
				{kind: 'configuration', atMs: faultAtMs + 1600},
			],
			faults,
		});
		t.same(listLate(report), []);
	});
}

const inspectOptions = {depth: Infinity, maxArrayLength: Infinity};

test('the same options and seed give the same report, another seed another one, and the clock is restored', async t => {
	const {now} = performance;
	const run = async (seed: number) => runPropagation({
		...fleet, nodes: 20, lengthMs: 3000, seed, changes: [{kind: 'configuration', atMs: 2000}], faults: [], isLogged: true,
	});
	const first = await run(1);
	t.ok(first.lines.length > 0);
	t.equal(inspect(await run(1), inspectOptions), inspect(first, inspectOptions));
	t.not(inspect(await run(2), inspectOptions), inspect(first, inspectOptions));
	t.equal(performance.now, now);
});

/**
Guards against store calls that grow with the fleet beyond the start and the lease renewals of each node; the store bills and
limits calls.
*/
test('nodes with a follower call the store only for their start and their leases', async t => {
	const nodes = 80;
	const {storeCalls} = await runPropagation({
		...fleet, nodes, lengthMs: 16_000, seed: 1, changes: [], faults: [],
	});
	const followers = 4;
	const renewalsOfFollowers = followers * 16;
	t.ok((storeCalls.renew ?? 0) - renewalsOfFollowers <= 2 * nodes, `${storeCalls.renew} renewals`);
	t.equal(storeCalls['open-lease'], nodes);
	t.equal(storeCalls.write, nodes);
});

/**
Guards against frequent retries during a store outage; refused calls are billed too.
*/
test('each follower calls an unavailable store about once a second', async t => {
	const nodes = 9;
	const downS = 8;
	// Retry delays are randomly up to half shorter; a list at the start and one after the outage have two pages each.
	const maximumAttempts = 1.5 * downS;
	const pages = 4;
	const {storeCalls, changes} = await runPropagation({
		...fleet,
		nodes,
		lengthMs: 20_000,
		seed: 1,
		changes: [{kind: 'configuration', atMs: 16_000}],
		faults: [{
			kind: 'store-down', atMs: 6000, forMs: downS * 1000, how: 'reset',
		}],
	});
	t.ok((storeCalls.list ?? 0) <= nodes * (maximumAttempts + pages), `${storeCalls.list} pages`);
	t.ok((storeCalls.renew ?? 0) <= nodes * 20, `${storeCalls.renew} renewals in 20 s`);
	t.same(changes.flatMap(({missing}) => missing), []);
});
