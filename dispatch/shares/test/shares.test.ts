import fc from 'fast-check';
import {test} from 'tap';
import {
	addVirtualTokens,
	chooseAccount,
	findMinimumTokens,
	planClassShares,
	planShares,
	type ClassDemand,
} from '@valvesaddle/shares';

const amounts = fc.double({min: 0, max: 1e6, noNaN: true});
const weights = fc.double({min: 0.1, max: 10, noNaN: true});
const isNear = (a: number, b: number): boolean => Math.abs(a - b) <= 1e-6 * Math.max(1, Math.abs(a), Math.abs(b));
const sumShares = (shares: ReadonlyMap<string, number>): number => shares.values().reduce((sum, share) => sum + share, 0);

const demandLists = fc.array(fc.record({demand: amounts, weight: weights}), {maxLength: 40})
	.map(list => list.map((entry, index) => ({...entry, name: `a${index}`})));
const classLists = fc.array(fc.record({
	demand: amounts, weight: weights, tier: fc.nat({max: 5}), floor: fc.double({min: 0, max: 0.2, noNaN: true}),
}), {maxLength: 8}).map((list): readonly ClassDemand[] => list.map((entry, index) => ({...entry, name: `c${index}`, isUrgent: entry.tier === 0})));

test('a large account leaves the others what they ask for, and gets the rest', t => {
	const small = Array.from({length: 23}, (_value, index) => ({name: `s${index}`, demand: 10, weight: 1}));
	const shares = planShares({demands: [{name: 'large', demand: 800, weight: 1}, ...small], capacity: 300});
	t.equal(shares.get('large'), 70);
	t.ok(small.every(({name}) => shares.get(name) === 10));
	t.equal(planShares({demands: [{name: 'a', demand: 90, weight: 3}, {name: 'b', demand: 90, weight: 1}], capacity: 80}).get('a'), 60);
	t.same([...planShares({demands: [{name: 'a', demand: 5, weight: 1}], capacity: -1})], [['a', 0]]);
	t.equal(planShares({demands: [{name: 'a', demand: Infinity, weight: 1}, {name: 'b', demand: Infinity, weight: 1}], capacity: 8}).get('b'), 4);
	t.end();
});

test('shares sum up to the capacity or to all demands, and nobody gets less than an equal part or its demand', t => {
	fc.assert(fc.property(demandLists, amounts, (demands, capacity) => {
		const shares = planShares({demands, capacity});
		const asked = demands.reduce((sum, {demand}) => sum + demand, 0);
		const allWeights = demands.reduce((sum, {weight}) => sum + weight, 0);
		return isNear(sumShares(shares), Math.min(asked, capacity)) && demands.every(({name, demand, weight}) => {
			const share = shares.get(name) ?? 0;
			const least = Math.min(demand, capacity * weight / allWeights);
			return share <= demand && (share >= least || isNear(share, least));
		});
	}));
	t.end();
});

test('classes share all of the capacity; urgent ones are never behind lower ones, and floors are kept', t => {
	fc.assert(fc.property(classLists, amounts, (classes, capacity) => {
		const shares = planClassShares({classes, capacity});
		const asked = classes.reduce((sum, {demand}) => sum + demand, 0);
		const urgent = classes.filter(({isUrgent}) => isUrgent);
		const urgentAsked = urgent.reduce((sum, {demand}) => sum + demand, 0);
		const urgentShare = urgent.reduce((sum, {name}) => sum + (shares.get(name) ?? 0), 0);
		const left = Math.max(0, capacity - urgentShare);
		const floors = classes.reduce((sum, {floor, isUrgent}) => sum + (isUrgent ? 0 : floor), 0);
		return isNear(sumShares(shares), Math.min(asked, capacity))
			&& isNear(urgentShare, Math.min(urgentAsked, capacity))
			&& (floors > 1 || classes.every(({name, demand, floor, isUrgent}) => {
				const share = shares.get(name) ?? 0;
				const least = Math.min(demand, floor * left);
				return isUrgent || share >= least || isNear(share, least);
			}));
	}));
	t.end();
});

test('a class of a higher tier gets beyond its floor only what lower tiers leave', t => {
	const classes: readonly ClassDemand[] = [1, 2, 3].map(tier => ({
		name: `c${tier}`, demand: 60, weight: 1, tier, isUrgent: false, floor: 0.05,
	}));
	t.same([...planClassShares({classes, capacity: 100})].map(([name, share]) => [name, Math.round(share)]), [['c1', 60], ['c2', 35], ['c3', 5]]);
	t.end();
});

test('served by virtual token counters, accounts of equal weight get equal tokens, whatever the size of their requests', t => {
	const counters = new Map([['a', 0], ['b', 0], ['c', 0]]);
	const served = new Map([['a', 0], ['b', 0], ['c', 0]]);
	const sizes: Readonly<Record<string, number>> = {a: 10, b: 200, c: 1000};
	for (let turn = 0; turn < 5000; turn++) {
		const account = chooseAccount([...counters].map(([name, virtualTokens]) => ({account: name, waiting: 1, virtualTokens}))) ?? '';
		const tokens = sizes[account] ?? 0;
		counters.set(account, addVirtualTokens(counters.get(account) ?? 0, tokens, 1));
		served.set(account, (served.get(account) ?? 0) + tokens);
	}

	t.ok(Math.max(...served.values()) - Math.min(...served.values()) <= 1000);
	t.equal(findMinimumTokens([]), undefined);
	t.equal(findMinimumTokens([{virtualTokens: 4}, {virtualTokens: 2}]), 2);
	t.end();
});
