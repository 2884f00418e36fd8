/*
Guards against the nodes of a fleet all sending to one place that came free. Each turn is compared with a draw by the number of nodes, the other
way that was weighed.
*/
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createRandom} from '@valvesaddle/random';
import {createTurns} from '@valvesaddle/waiting-room';

const nodes = Array.from({length: 62}, (_value, index) => `n-${index}`);
const slotMs = 20;
const slots = 200;

/**
Counts how many nodes may send to one endpoint in each slot of time.
*/
function countSenders(t: Test, hasTurn: (node: string) => boolean): readonly number[] {
	const clock = new Clock();
	t.teardown(clock.enter());
	return Array.from({length: slots}, () => {
		clock.advance(slotMs);
		return nodes.filter(node => hasTurn(node)).length;
	});
}

function createFleet(): ReadonlyMap<string, ReturnType<typeof createTurns>> {
	return new Map(nodes.map(self => [self, createTurns({fleet: {self, list: () => nodes}, toUnixTime: at => at})]));
}

test('one node has the turn for room that comes free elsewhere, where a draw lets several send or none', t => {
	const fleet = createFleet();
	const owned = countSenders(t, node => fleet.get(node)!.hasTurn('e'));
	t.ok(owned.every(count => count === 1));
	const random = createRandom(1);
	const drawn = countSenders(t, () => random() < 1 / nodes.length);
	t.ok(drawn.some(count => count >= 3), `at most ${Math.max(...drawn)} at once`);
	t.ok(drawn.filter(count => count === 0).length > slots / 4, `none in ${drawn.filter(count => count === 0).length} of ${slots} slots`);
	t.end();
});

test('every node gets turns', t => {
	const fleet = createFleet();
	const seen = new Set<string>();
	countSenders(t, node => {
		const hasTurn = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].some(endpoint => fleet.get(node)!.hasTurn(endpoint));
		seen.add(hasTurn ? node : nodes[0]!);
		return hasTurn;
	});
	t.equal(seen.size, nodes.length);
	t.end();
});

test('a place that a request of the node has left is the node\'s to fill, once, until the others have heard of it', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const turns = createTurns({fleet: {self: 'n-0', list: () => ['n-0', ...nodes.slice(1)]}, toUnixTime: () => 0});
	const endpoint = ['e1', 'e2', 'e3'].find(name => !turns.hasTurn(name))!;
	turns.recordFreed(endpoint);
	t.ok(turns.hasTurn(endpoint));
	turns.take(endpoint);
	t.notOk(turns.hasTurn(endpoint));
	turns.recordFreed(endpoint);
	clock.advance(250);
	t.notOk(turns.hasTurn(endpoint));
	t.end();
});

test('a slot that is used is not used again', t => {
	const turns = createTurns({fleet: {self: 'n-0', list: () => ['n-0']}, toUnixTime: () => 0});
	t.ok(turns.hasTurn('e'));
	turns.take('e');
	t.notOk(turns.hasTurn('e'));
	t.end();
});
