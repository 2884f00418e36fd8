import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createRandom} from '@valvesaddle/random';
import {createRequestLimits} from '../src/create-request-limits.ts';
import type {RequestLimits} from '../src/request-limits.ts';

/**
The platform's bound: requests within a window, in milliseconds, beyond which an endpoint's limit is broken.
*/
const windowMs = 4000;
const countAllowed = (perSecond: number): number => (1.5 * perSecond * windowMs / 1000) + 5;

const stepMs = 20;
const lengthMs = 20_000;

type FleetOptions = {
	readonly perSecond: number;
	readonly nodes: number;
	/**
	Requests per second that each node would send.
	*/
	readonly demand: (node: number) => number;
	/**
	Difference of a node's clock, in milliseconds.
	*/
	readonly skewMs?: (node: number) => number;
	/**
	Nodes that a node knows.
	*/
	readonly view?: (node: number, names: readonly string[]) => readonly string[];
};

/**
Runs nodes that send an endpoint as much as they may; returns the times of its arrivals.
*/
function runFleet(t: Test, {perSecond, nodes, demand, skewMs = () => 0, view = (_node, names) => names}: FleetOptions): readonly number[] {
	const clock = new Clock();
	const leave = clock.enter();
	const random = createRandom(nodes);
	const names = Array.from({length: nodes}, (_value, node) => `n${node}`);
	const fleet = names.map((self, node): RequestLimits => {
		const list = view(node, names);
		return createRequestLimits({self, list: () => list}, at => at + skewMs(node) + 1_000_000);
	});
	for (const limits of fleet) {
		limits.didSet('e', perSecond);
	}

	const arrivals: number[] = [];
	for (let at = 0; at < lengthMs; at += stepMs) {
		clock.advance(stepMs);
		for (const [node, limits] of fleet.entries()) {
			if (random() < demand(node) * stepMs / 1000 && limits.takePermit('e') === 'granted') {
				arrivals.push(at);
			}
		}
	}

	leave();
	t.ok(arrivals.length > 0);
	return arrivals;
}

function countMost(arrivals: readonly number[]): number {
	return Math.max(...arrivals.map(from => arrivals.filter(at => at >= from && at < from + windowMs).length));
}

for (const nodes of [1, 3, 9, 87]) {
	for (const perSecond of [0.5, 1, 3.2, 20, 150]) {
		test(`${nodes} nodes keep a limit of ${perSecond} a second whatever they want to send, and use it`, t => {
			const arrivals = runFleet(t, {perSecond, nodes, demand: () => 50});
			t.ok(countMost(arrivals) <= countAllowed(perSecond), `${countMost(arrivals)}`);
			t.ok(arrivals.length >= 0.6 * Math.min(perSecond, 50 * nodes) * lengthMs / 1000, `${arrivals.length}`);
			t.end();
		});
	}
}

const disturbances: Readonly<Record<string, Partial<FleetOptions>>> = {
	'whose clocks differ': {skewMs: node => node * 137},
	'one of which sends nearly everything': {demand: node => node === 0 ? 50 : 0.2},
	'one of which knows half of the others': {view: (node, names) => node === 0 ? names.slice(0, names.length / 2) : names},
};

for (const [which, options] of Object.entries(disturbances)) {
	for (const perSecond of [0.5, 1, 3.2, 20]) {
		test(`9 nodes ${which} keep a limit of ${perSecond} a second`, t => {
			const arrivals = runFleet(t, {
				perSecond, nodes: 9, demand: () => 50, ...options,
			});
			t.ok(countMost(arrivals) <= countAllowed(perSecond), `${countMost(arrivals)}`);
			t.end();
		});
	}
}

function startLimits(t: Test) {
	const clock = new Clock();
	t.teardown(clock.enter());
	return {clock, limits: createRequestLimits({self: 'n', list: () => ['n']}, at => at + 1_000_000)};
}

test('an endpoint without a limit accepts every request', t => {
	const {limits} = startLimits(t);
	t.ok(limits.hasPermit('e'));
	t.equal(limits.takePermit('e'), 'unlimited');
	t.equal(limits.getWaitMs('e'), 0);
	t.end();
});

test('a limit is in force from the moment at which it is set, until it is removed', t => {
	const {clock, limits} = startLimits(t);
	t.ok(limits.didSet('e', 2));
	t.notOk(limits.didSet('e', 2.1), 'nearly the same');
	t.equal(limits.takePermit('e'), 'denied');
	t.equal(limits.getWaitMs('e'), 500);
	clock.advance(500);
	t.ok(limits.hasPermit('e'));
	t.equal(limits.takePermit('e'), 'granted');
	t.equal(limits.takePermit('e'), 'denied');
	t.ok(limits.didSet('e', undefined));
	t.notOk(limits.didSet('e', undefined));
	t.equal(limits.takePermit('e'), 'unlimited');
	t.end();
});

test('an endpoint that accepts nothing for now is asked again', t => {
	const {clock, limits} = startLimits(t);
	limits.didSet('e', 0);
	clock.advance(10_000);
	t.equal(limits.takePermit('e'), 'granted');
	t.equal(limits.takePermit('e'), 'denied');
	t.end();
});

test('requests that were not sent give no right to a burst', t => {
	const {clock, limits} = startLimits(t);
	limits.didSet('e', 10);
	clock.advance(60_000);
	let granted = 0;
	while (limits.takePermit('e') === 'granted') {
		granted++;
	}

	t.equal(granted, 10);
	t.end();
});
