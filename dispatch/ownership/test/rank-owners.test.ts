import fc from 'fast-check';
import {test} from 'tap';
import {rankOwners} from '@valvesaddle/ownership';

const nodes = fc.uniqueArray(fc.string({minLength: 1}), {minLength: 1, maxLength: 30});

test('the ranking does not depend on the order of the nodes', t => {
	fc.assert(fc.property(nodes, list => JSON.stringify(rankOwners('pool', list)) === JSON.stringify(rankOwners('pool', list.toReversed()))));
	t.end();
});

test('the removal of a node moves only the duties that it owned', t => {
	fc.assert(fc.property(nodes, fc.array(fc.string()), (list, duties) => {
		const [removed] = list;
		const remaining = list.slice(1);
		return remaining.length === 0 || duties.every(duty => rankOwners(duty, list)[0] === removed || rankOwners(duty, list)[0] === rankOwners(duty, remaining)[0]);
	}));
	t.end();
});

test('duties are distributed over the nodes', t => {
	const list = Array.from({length: 10}, (_, index) => `n${index}`);
	const counts = new Map<string, number>();
	for (let duty = 0; duty < 1000; duty++) {
		const owner = rankOwners(`pool-${duty}`, list)[0] ?? '';
		counts.set(owner, (counts.get(owner) ?? 0) + 1);
	}

	t.equal(counts.size, 10);
	t.ok(counts.values().every(count => count > 50 && count < 200));
	t.end();
});
