import fc from 'fast-check';
import {test} from 'tap';
import type {Configuration} from '@valvesaddle/types';
import {createDutyIndex} from '@valvesaddle/ownership';

function createConfiguration(dispatchers: number, endpoints: number): Configuration {
	return {
		classes: [],
		accounts: [],
		pools: [{
			name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers,
		}],
		endpoints: Array.from({length: endpoints}, (_, index) => ({
			id: `e${index}`, pool: 'drafting', url: 'http://e', dataCentre: 'd', initialLimit: 1, leaving: false,
		})),
		bindings: [],
	};
}

test('a pool with one dispatcher is one duty with the same name', t => {
	const index = createDutyIndex(createConfiguration(1, 5));
	t.equal(index.chooseDuty('drafting', 'any'), 'drafting');
	t.equal(index.findDuty('drafting', 'e3'), 'drafting');
	t.equal(index.chooseOther('drafting', 'drafting'), undefined);
	t.equal(index.getConfiguration('drafting').endpoints.length, 5);
	t.end();
});

test('each endpoint of a split pool belongs to exactly one duty, and requests go only to duties with endpoints', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.integer({min: 1, max: 60}), fc.string(), (dispatchers, endpoints, key) => {
		const index = createDutyIndex(createConfiguration(dispatchers, endpoints));
		const duties = new Set(Array.from({length: endpoints}, (_, number) => index.findDuty('drafting', `e${number}`)));
		let owned = 0;
		for (const duty of duties) {
			owned += index.getConfiguration(duty).endpoints.length;
		}

		const chosen = index.chooseDuty('drafting', key);
		return owned === endpoints && duties.has(chosen) && index.findPool(chosen) === 'drafting';
	}));
	t.end();
});

test('requests are distributed over the duties in proportion to their endpoints', t => {
	const index = createDutyIndex(createConfiguration(4, 40));
	const counts = new Map<string, number>();
	for (let request = 0; request < 4000; request++) {
		const duty = index.chooseDuty('drafting', `request-${request}`);
		counts.set(duty, (counts.get(duty) ?? 0) + 1);
	}

	for (const [duty, count] of counts) {
		const expected = index.getConfiguration(duty).endpoints.length * 100;
		t.ok(count > expected * 0.7 && count < expected * 1.3, `${duty}: ${count} of ${expected}`);
	}

	t.end();
});

test('the other duty of a split pool is never the same one', t => {
	const index = createDutyIndex(createConfiguration(3, 9));
	for (const duty of ['drafting#0', 'drafting#1', 'drafting#2']) {
		t.not(index.chooseOther('drafting', duty), duty);
	}

	t.end();
});
