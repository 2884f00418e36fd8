/*
Loads that shares answer, against the decision without shares.
*/
import {test} from 'tap';
import {
	measureLateness,
	runLoad,
	type Call,
	type Source,
} from './replay-load.ts';

const surge = {fromMs: 10_000, toMs: 20_000};
const lengthMs = 26_000;
const isInSurge = (atMs: number): boolean => atMs >= surge.fromMs && atMs < surge.toMs;

/**
24 accounts, of which three are large, ask for nine tenths of what six engines read; one of the large asks for eight times its usual.
*/
const surging: readonly Source[] = Array.from({length: 24}, (_value, index) => ({
	account: `a${index}`, priority: 2, promptTokens: 1000, perSecond: atMs => (index < 3 ? 6 : 36 / 21) * (index === 0 && isInSurge(atMs) ? 8 : 1),
}));
const isOther = ({account}: Source): boolean => account !== 'a0';
const countServed = (calls: readonly Call[], isCounted: (source: Source) => boolean): number => calls
	.filter(({source, startedAt, servedAt}) => isCounted(source) && isInSurge(startedAt) && servedAt !== undefined)
	.length;

for (const seed of [1, 2, 3]) {
	test(`one account at eight times its usual makes no others late, seed ${seed}`, t => {
		const options = {
			sources: surging, engines: 6, nodes: 8, lengthMs, seed,
		};
		const [standing, shared] = [runLoad({...options, isShared: false}), runLoad({...options, isShared: true})];
		const before = measureLateness(standing, 0, surge.fromMs, isOther);
		t.ok(measureLateness(standing, surge.fromMs, surge.toMs, isOther) > 0.8, 'without shares nearly all others are late');
		t.ok(measureLateness(shared, 0, surge.fromMs, isOther) <= before + 0.02, 'shares change next to nothing in a pool with room');
		t.ok(measureLateness(shared, surge.fromMs, surge.toMs, isOther) <= before + 0.08, 'the first second of the surge, before it is known, is all that is late');
		t.ok(measureLateness(shared, surge.fromMs + 3000, surge.toMs, isOther) <= before + 0.02, 'then the others are as before');
		t.ok(countServed(shared, source => !isOther(source)) > 60, 'the account is still served what it usually asks');
		t.ok(countServed(shared, () => true) >= 0.95 * countServed(standing, () => true), 'the pool serves as much as without shares');
		t.end();
	});
}

test('the most urgent class is never refused, and every class is served, while a class between asks for four times the pool', t => {
	const {fromMs} = surge;
	const toMs = 40_000;
	const sources: readonly Source[] = [0, 1, 2, 3].flatMap(priority => ['a', 'b', 'c'].map(account => ({
		account, priority, promptTokens: 1000, perSecond: atMs => priority === 1 && account === 'a' && atMs >= fromMs && atMs < toMs ? 240 : 4,
	})));
	const options = {
		sources, engines: 6, nodes: 8, lengthMs: 46_000, seed: 4,
	};
	const [standing, shared] = [runLoad({...options, isShared: false}), runLoad({...options, isShared: true})];
	const isCounted = ({startedAt, servedAt}: Call): boolean => startedAt >= fromMs + 10_000 && startedAt < toMs && servedAt !== undefined;
	const listServed = (calls: readonly Call[]): readonly number[] => [0, 1, 2, 3]
		.filter(priority => calls.filter(call => call.source.priority === priority && isCounted(call)).length >= 20);
	for (const calls of [standing, shared]) {
		t.ok(measureLateness(calls, 0, 45_000, ({priority}) => priority === 0) < 0.02, 'urgent callers are in time');
		t.ok(calls.every(({source, refusals}) => source.priority !== 0 || refusals === 0));
	}

	t.same(listServed(standing), [0, 1], 'without shares the classes behind are served nothing');
	t.same(listServed(shared), [0, 1, 2, 3]);
	const isBeside = ({priority, account}: Source): boolean => priority === 1 && account !== 'a';
	t.ok(measureLateness(standing, fromMs, toMs, isBeside) > 0.8);
	t.ok(measureLateness(shared, fromMs, toMs, isBeside) < 0.4, 'the other accounts of the class are late until the surge is known');
	t.end();
});

test('accounts that all ask for more than the pool has are served by their weights', t => {
	const sources: readonly Source[] = ['a', 'b', 'c'].map(account => ({
		account, priority: 1, promptTokens: 1000, perSecond: () => 60,
	}));
	const options = {
		sources, engines: 6, nodes: 8, lengthMs, seed: 5, weights: {a: 2},
	};
	const countInTime = (calls: readonly Call[], account: string): number => calls
		.filter(({source, startedAt, servedAt}) => source.account === account && isInSurge(startedAt) && servedAt !== undefined && servedAt - startedAt <= 600)
		.length;
	const [standing, shared] = [runLoad({...options, isShared: false}), runLoad({...options, isShared: true})];
	const ratio = countInTime(shared, 'a') / ((countInTime(shared, 'b') + countInTime(shared, 'c')) / 2);
	t.ok(ratio > 1.4 && ratio < 2.6, `${ratio}`);
	const countAll = (calls: readonly Call[]): number => ['a', 'b', 'c'].reduce((sum, account) => sum + countInTime(calls, account), 0);
	t.ok(countAll(shared) > countAll(standing), 'more are in time than without shares');
	t.end();
});
