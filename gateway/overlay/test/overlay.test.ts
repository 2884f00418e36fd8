import fc from 'fast-check';
import {test} from 'tap';
import {chooseParent, planOverlay} from '@valvesaddle/overlay';

type Member = Parameters<typeof planOverlay>[0][number];

const centres = ['a', 'b', 'c', 'd'] as const;

function createFleet(size: number, large: readonly number[] = []): readonly Member[] {
	return Array.from({length: size}, (_, index) => ({id: `n${index}`, dataCentre: centres[index % centres.length] ?? 'a', capacity: large.includes(index) ? 1.3 : 0.3}));
}

test('in a small fleet every node is linked with every other and watches the store', t => {
	const overlay = planOverlay(createFleet(16), {meshNodes: 16});
	t.equal(overlay.relays.size, 16);
	t.equal(overlay.followers.size, 16);
	t.equal(chooseParent(overlay, {node: 'n3', dataCentre: 'd', suspects: new Set()}), undefined);
	t.end();
});

test('relays and followers grow far more slowly than the fleet', t => {
	for (const [size, maximumRelays] of [[64, 8], [84, 9], [300, 18], [380, 20]] as const) {
		const overlay = planOverlay(createFleet(size), {meshNodes: 16});
		t.ok(overlay.relays.size <= maximumRelays, `${overlay.relays.size} relays of ${size} nodes`);
		t.equal(overlay.followers.size, 4);
		t.equal(new Set(overlay.followers.values().map(id => overlay.relays.get(id))).size, 4, 'one in every data centre');
	}

	t.end();
});

test('the nodes of a data centre with the largest capacities are its relays', t => {
	const overlay = planOverlay(createFleet(64, [60, 61, 62, 63]), {meshNodes: 16});
	t.same(new Set(overlay.followers), new Set(['n60', 'n61', 'n62', 'n63']));
	t.end();
});

test('the overlay does not depend on the order of the nodes', t => {
	fc.assert(fc.property(fc.integer({min: 17, max: 120}), fc.integer({min: 0, max: 1000}), (size, cut) => {
		const fleet = createFleet(size);
		const rotated = [...fleet.slice(cut % size), ...fleet.slice(0, cut % size)];
		const [left, right] = [planOverlay(fleet, {meshNodes: 16}), planOverlay(rotated, {meshNodes: 16})];
		return JSON.stringify([...left.relays]) === JSON.stringify([...right.relays]);
	}));
	t.end();
});

test('a node is linked to a relay of its own data centre, and to another one only when none is reachable there', t => {
	const overlay = planOverlay(createFleet(84), {meshNodes: 16});
	const node = Array.from({length: 84}, (_, index) => `n${index}`).find(id => !overlay.relays.has(id) && Number(id.slice(1)) % 4 === 0) ?? '';
	const parent = chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set()}) ?? '';
	t.equal(overlay.relays.get(parent), 'a');
	const near = overlay.relays.entries().filter(([, centre]) => centre === 'a').map(([id]) => id);
	const fallback = chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set(near)}) ?? '';
	t.not(overlay.relays.get(fallback), 'a');
	t.equal(chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set(overlay.relays.keys())}), undefined);
	t.end();
});

test('members are spread over the relays of a data centre', t => {
	const overlay = planOverlay(createFleet(300), {meshNodes: 16});
	const parents = Array.from({length: 300}, (_, index) => index % 4 === 0 ? chooseParent(overlay, {node: `n${index}`, dataCentre: 'a', suspects: new Set()}) : undefined);
	const counts = Map.groupBy(parents.filter(parent => parent !== undefined), parent => parent);
	t.equal(counts.size, 4);
	t.ok(counts.values().every(({length}) => length > 8 && length < 32));
	t.end();
});

test('a node of far less than the largest capacity in its data centre is no relay when two others are', t => {
	const large = [0, 1, 2, 3, 4, 5, 6, 7];
	const overlay = planOverlay(createFleet(87, large), {meshNodes: 16});
	t.same(new Set(overlay.relays.keys()), new Set(large.map(index => `n${index}`)));
	const fewer = planOverlay(createFleet(300, [0, 4]), {meshNodes: 16});
	t.equal([...fewer.relays].filter(relay => relay[1] === 'a').length, 2);
	t.equal([...fewer.relays].filter(relay => relay[1] === 'b').length, 4, 'nodes of equal capacity are all relays');
	t.equal([...planOverlay(createFleet(87, [0]), {meshNodes: 16}).relays].filter(relay => relay[1] === 'a').length, 2, 'a data centre keeps a second relay in case one is lost');
	t.end();
});

test('a relay of small capacity has few members, also where only one node has a large capacity', t => {
	const nodes = ['a', 'b', 'c'].flatMap(dataCentre => Array.from({length: 29}, (_value, index) => ({
		id: `${dataCentre}-${index}`, dataCentre, capacity: index === 0 ? 1 : 0.15,
	})));
	const overlay = planOverlay(nodes, {meshNodes: 16});
	const counts = new Map<string, number>();
	for (const {id, dataCentre} of nodes) {
		const parent = chooseParent(overlay, {node: id, dataCentre, suspects: new Set()});
		if (parent !== undefined) {
			counts.set(parent, (counts.get(parent) ?? 0) + 1);
		}
	}

	const small = [...counts].filter(([id]) => !id.endsWith('-0'));
	t.ok(small.every(([, count]) => count <= 8), `members of small relays: ${small.map(([id, count]) => `${id} ${count}`).join(', ')}; relays ${overlay.relays.size}`);
	t.end();
});
