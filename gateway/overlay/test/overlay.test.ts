import fc from 'fast-check';
import {test} from 'tap';
import {chooseParent, planOverlay} from '@valvesaddle/overlay';

type Member = Parameters<typeof planOverlay>[0][number];

const centres = ['a', 'b', 'c', 'd'] as const;

function createFleet(size: number, strong: readonly number[] = []): readonly Member[] {
	return Array.from({length: size}, (_, index) => ({id: `n${index}`, dataCentre: centres[index % centres.length] ?? 'a', capacity: strong.includes(index) ? 1.3 : 0.3}));
}

test('in a small fleet every node is linked with every other and follows the store', t => {
	const overlay = planOverlay(createFleet(16), {meshNodes: 16});
	t.equal(overlay.relays.size, 16);
	t.equal(overlay.followers.size, 16);
	t.equal(chooseParent(overlay, {node: 'n3', dataCentre: 'd', suspects: new Set()}), undefined);
	t.end();
});

test('links and followers of the store grow far more slowly than the fleet', t => {
	for (const [size, most] of [[64, 8], [84, 9], [300, 18], [380, 20]] as const) {
		const overlay = planOverlay(createFleet(size), {meshNodes: 16});
		t.ok(overlay.relays.size <= most, `${overlay.relays.size} relays of ${size} nodes`);
		t.equal(overlay.followers.size, 4);
		t.equal(new Set(overlay.followers.values().map(id => overlay.relays.get(id))).size, 4, 'one in every data centre');
	}

	t.end();
});

test('the strongest nodes of a data centre are its relays', t => {
	const overlay = planOverlay(createFleet(64, [60, 61, 62, 63]), {meshNodes: 16});
	t.same(new Set(overlay.followers), new Set(['n60', 'n61', 'n62', 'n63']));
	t.end();
});

test('nodes agree whatever the order of their lists', t => {
	fc.assert(fc.property(fc.integer({min: 17, max: 120}), fc.integer({min: 0, max: 1000}), (size, cut) => {
		const fleet = createFleet(size);
		const turned = [...fleet.slice(cut % size), ...fleet.slice(0, cut % size)];
		const [left, right] = [planOverlay(fleet, {meshNodes: 16}), planOverlay(turned, {meshNodes: 16})];
		return JSON.stringify([...left.relays]) === JSON.stringify([...right.relays]);
	}));
	t.end();
});

test('a node is linked to a relay of its own data centre, and to a farther one only when it must', t => {
	const overlay = planOverlay(createFleet(84), {meshNodes: 16});
	const node = Array.from({length: 84}, (_, index) => `n${index}`).find(id => !overlay.relays.has(id) && Number(id.slice(1)) % 4 === 0) ?? '';
	const parent = chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set()}) ?? '';
	t.equal(overlay.relays.get(parent), 'a');
	const near = overlay.relays.entries().filter(([, centre]) => centre === 'a').map(([id]) => id);
	const farther = chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set(near)}) ?? '';
	t.not(overlay.relays.get(farther), 'a');
	t.equal(chooseParent(overlay, {node, dataCentre: 'a', suspects: new Set(overlay.relays.keys())}), undefined);
	t.end();
});

test('children are spread over the relays of a data centre', t => {
	const overlay = planOverlay(createFleet(300), {meshNodes: 16});
	const parents = Array.from({length: 300}, (_, index) => index % 4 === 0 ? chooseParent(overlay, {node: `n${index}`, dataCentre: 'a', suspects: new Set()}) : undefined);
	const counts = Map.groupBy(parents.filter(parent => parent !== undefined), parent => parent);
	t.equal(counts.size, 4);
	t.ok(counts.values().every(({length}) => length > 8 && length < 32));
	t.end();
});

test('a node that is far weaker than the strongest of its data centre is no relay when two others are', t => {
	const strong = [0, 1, 2, 3, 4, 5, 6, 7];
	const overlay = planOverlay(createFleet(87, strong), {meshNodes: 16});
	t.same(new Set(overlay.relays.keys()), new Set(strong.map(index => `n${index}`)));
	const fewer = planOverlay(createFleet(300, [0, 4]), {meshNodes: 16});
	t.equal([...fewer.relays].filter(relay => relay[1] === 'a').length, 2);
	t.equal([...fewer.relays].filter(relay => relay[1] === 'b').length, 4, 'equal ones share the work');
	t.equal([...planOverlay(createFleet(87, [0]), {meshNodes: 16}).relays].filter(relay => relay[1] === 'a').length, 2, 'one alone would leave nobody near when it is lost');
	t.end();
});

test('a weak node is the relay of few members, also where there is one strong node only', t => {
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

	const weak = [...counts].filter(([id]) => !id.endsWith('-0'));
	t.ok(weak.every(([, count]) => count <= 8), `members of weak relays: ${weak.map(([id, count]) => `${id} ${count}`).join(', ')}; relays ${overlay.relays.size}`);
	t.end();
});
