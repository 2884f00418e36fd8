import fc from 'fast-check';
import {test} from 'tap';
import {
	predictMemory,
	predictPeak,
	predictRoom,
	toHeldMemory,
	type HeldMemory,
} from '@valvesaddle/room';

const heldMemory = fc.record<HeldMemory>({
	tokens: fc.integer({min: 0, max: 20_000}), growthTokens: fc.integer({min: 0, max: 4000}), endsInMs: fc.integer({min: 0, max: 10_000}),
});
const running = fc.array(heldMemory, {maxLength: 30});
const capacity = fc.integer({min: 1, max: 250_000});
/**
Rounding of sums of floating-point numbers, in tokens.
*/
const rounding = 1e-6;

const digest: HeldMemory = {tokens: 9200, growthTokens: 50, endsInMs: 700};

test('an engine with 64 places has memory for 22 digests', t => {
	const digests = (count: number): readonly HeldMemory[] => Array.from({length: count}, () => digest);
	const room = (count: number) => predictRoom({capacityTokens: 206_343, held: digests(count), request: digest});
	t.same(room(21), {waitMs: 0, peakTokens: 22 * 9250, overflowTokens: 0});
	t.same(room(22), {waitMs: 700, peakTokens: 23 * 9250, overflowTokens: (23 * 9250) - 206_343});
	t.end();
});

test('a request that grows fits if the others end before it has grown', t => {
	const held = [{tokens: 900, growthTokens: 0, endsInMs: 100}];
	const request = {tokens: 50, growthTokens: 500, endsInMs: 1000};
	t.equal(predictRoom({capacityTokens: 1000, held, request}).waitMs, 0, 'it has grown by 50 when the other ends');
	t.equal(predictRoom({capacityTokens: 999, held, request}).waitMs, 100, 'it would have one token too many just before');
	t.end();
});

test('memory is never negative, and its peak is the most of any time', t => {
	fc.assert(fc.property(running, fc.integer({min: 0, max: 12_000}), fc.double({min: 0, max: 1, noNaN: true}), (held, untilMs, share) => {
		const memory = predictMemory(held, share * untilMs);
		return memory >= 0 && memory <= predictPeak(held, untilMs) + rounding;
	}));
	t.end();
});

test('an engine that runs nothing has room for any request', t => {
	fc.assert(fc.property(capacity, heldMemory, (capacityTokens, request) => predictRoom({capacityTokens, held: [], request}).waitMs === 0));
	t.end();
});

test('a request fits when its wait is over, unless it is larger than the memory', t => {
	fc.assert(fc.property(capacity, running, heldMemory, (capacityTokens, held, request) => {
		const {waitMs, overflowTokens} = predictRoom({capacityTokens, held, request});
		const left = held.filter(({endsInMs}) => endsInMs > waitMs).map(({tokens, growthTokens, endsInMs}) => ({
			tokens: tokens + (growthTokens * waitMs / endsInMs), growthTokens: growthTokens * (1 - (waitMs / endsInMs)), endsInMs: endsInMs - waitMs,
		}));
		return (waitMs > 0) === (overflowTokens > 0) && (left.length === 0 || predictPeak([...left, request], request.endsInMs) <= capacityTokens + rounding);
	}));
	t.end();
});

test('more memory, or one request less before one that does not grow, never makes it wait longer', t => {
	fc.assert(fc.property(capacity, running, heldMemory, (capacityTokens, held, request) => {
		const constant = {...request, growthTokens: 0};
		return predictRoom({capacityTokens: capacityTokens + 1000, held, request}).waitMs <= predictRoom({capacityTokens, held, request}).waitMs
			&& predictRoom({capacityTokens, held: held.slice(1), request: constant}).waitMs <= predictRoom({capacityTokens, held, request: constant}).waitMs;
	}));
	t.end();
});

test('a sum is freed in full within the time that its requests take', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.integer({min: 0, max: 500}), fc.integer({min: 1, max: 10_000}), (tokens, requests, holdMs) => {
		const held = toHeldMemory({tokens, requests, holdMs});
		return Math.abs(predictMemory(held, 0) - tokens) < 0.001 && predictMemory(held, holdMs) === 0;
	}));
	t.end();
});
