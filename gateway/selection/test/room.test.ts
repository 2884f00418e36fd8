import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {
	createSelector,
	noLoad,
	type EndpointLoad,
	type SelectionCriteria,
	type Selector,
	type SelectorOptions,
} from '@valvesaddle/selection';

const options: SelectorOptions = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50, isMemoryPredicted: true,
};
const cacheTokens = 20_000;

function createCriteria(change: Partial<SelectionCriteria> = {}): SelectionCriteria {
	return {
		pool: 'engines', objectiveMs: 1500, pauseObjectiveMs: 0, urgency: 6, promptTokens: 5000, maximumOutputTokens: 200, className: 'digests',
		parts: [{id: 'shared', tokens: 3000}, {id: 'own', tokens: 2000}], tried: new Set(), ...change,
	};
}

function createEndpoint(id: string, change: Partial<ServingEndpoint> = {}): ServingEndpoint {
	return {
		id, pool: 'engines', address: `${id}:80`, dataCentre: 'a', slots: 64, state: 'ready', ...change,
	};
}

function create(t: Test, ids: readonly string[], change: Partial<SelectorOptions> = {}): {readonly selector: Selector; readonly clock: Clock} {
	const clock = new Clock();
	t.teardown(clock.enter());
	return {selector: createWithoutClock(ids, change), clock};
}

function createWithoutClock(ids: readonly string[], change: Partial<SelectorOptions> = {}): Selector {
	const selector = createSelector({...options, ...change});
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens}}]);
	for (const id of ids) {
		selector.addEndpoint(createEndpoint(id));
	}

	return selector;
}

function tell(selector: Selector, endpoint: string, change: Partial<EndpointLoad>): void {
	selector.applyLoadUpdate('n2', {loads: [[endpoint, {...noLoad, ...change}]], placements: []});
}

function findEndpoint(selector: Selector, id: string) {
	const selection = selector.choose(createCriteria({tried: new Set(['i-1', 'i-2', 'i-3'].filter(other => other !== id))}));
	if (selection === undefined) {
		throw new TypeError(`no endpoint ${id}`);
	}

	return selection.endpoint;
}

test('digests about one subject go on to the next engine when memory is full; without the prediction they stay', t => {
	const {selector} = create(t, ['i-1', 'i-2', 'i-3']);
	const today = createWithoutClock(['i-1', 'i-2', 'i-3'], {isMemoryPredicted: false});
	const send = (to: Selector): string => {
		const selection = to.choose(createCriteria())!;
		const request = to.open(selection, createCriteria());
		request.markChunk();
		return selection.endpoint.id;
	};

	const predicted = Array.from({length: 12}, () => send(selector));
	const ignored = Array.from({length: 12}, () => send(today));
	t.equal(new Set(ignored).size, 1, 'the engine that has read the subject gets 3,000 tokens and 12 times 2,200');
	t.ok(new Set(predicted).size > 1);
	for (const id of new Set(predicted)) {
		t.ok((predicted.filter(other => other === id).length * 2200) + 3000 <= cacheTokens, id);
	}

	t.end();
});

test('an endpoint without room is chosen only if no other has room, and its cost holds the wait', t => {
	const {selector} = create(t, ['i-1', 'i-2']);
	tell(selector, 'i-1', {open: 4, memoryTokens: 19_000});
	tell(selector, 'i-2', {open: 60, pendingPrefill: [40_000], memoryTokens: 1000});
	t.equal(selector.choose(createCriteria())?.endpoint.id, 'i-2', 'though it reads for a second first');
	tell(selector, 'i-2', {open: 60, pendingPrefill: [40_000], memoryTokens: 20_000});
	const waiting = selector.choose(createCriteria());
	t.equal(waiting?.endpoint.id, 'i-1');
	t.equal(waiting?.roomInMs, 500, 'the first of four requests that take two seconds');
	t.ok(waiting!.costMs > 500);
	t.ok(waiting!.memoryTokens > cacheTokens);
	const urgent = selector.choose(createCriteria({isMostUrgent: true, urgency: 0}));
	t.ok(urgent!.costMs < 500, 'less urgent requests yield to the most urgent class');
	t.end();
});

test('a request takes its memory until it ends, however it ends', t => {
	const {selector, clock} = create(t, ['i-1']);
	const endpoint = findEndpoint(selector, 'i-1');
	for (const end of ['done', 'failed', 'rejected', 'cancelled'] as const) {
		const requests = Array.from({length: 4}, (_value, index) => {
			const criteria = createCriteria({parts: [{id: `own-${end}-${index}`, tokens: 5000}]});
			return selector.open(selector.choose(criteria)!, criteria);
		});
		t.notOk(selector.hasRoom(endpoint, createCriteria()), end);
		t.ok(selector.getRoomInMs(endpoint, createCriteria()) > 0);
		clock.advance(300);
		for (const request of requests) {
			request.markChunk();
			request.close(end);
			request.close(end);
		}

		t.ok(selector.hasRoom(endpoint, createCriteria()), end);
		t.equal(selector.listOwn().loads[0]?.[1].memoryTokens, 0);
	}

	t.end();
});

test('a restarted engine has dropped its memory, and what was told of it', t => {
	const {selector} = create(t, ['i-1']);
	const before = findEndpoint(selector, 'i-1');
	tell(selector, before.incarnation, {open: 4, memoryTokens: 19_000});
	t.notOk(selector.hasRoom(before, createCriteria()));
	selector.setIncarnation(createEndpoint('i-1', {born: 1000}));
	const after = findEndpoint(selector, 'i-1');
	t.ok(selector.hasRoom(after, createCriteria()));
	tell(selector, before.incarnation, {open: 4, memoryTokens: 19_000});
	t.ok(selector.hasRoom(after, createCriteria()), 'a late row of the process that has ended');
	t.end();
});

test('an engine whose slots or memory change while it is full is full by what it has now', t => {
	const {selector} = create(t, ['i-1']);
	tell(selector, 'i-1', {open: 4, memoryTokens: 19_000});
	t.notOk(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()));
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 40_000}}]);
	t.ok(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()));
	selector.addEndpoint(createEndpoint('i-1', {slots: 4}));
	t.notOk(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()), 'no slot is free');
	selector.addEndpoint(createEndpoint('i-1', {slots: 5}));
	t.ok(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()));
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 10_000}}]);
	const shrunk = selector.choose(createCriteria());
	t.equal(shrunk?.endpoint.id, 'i-1', 'it is still chosen, as there is no other');
	t.ok(Number.isFinite(shrunk?.costMs));
	selector.setPools([{name: 'engines', engine: undefined}]);
	t.ok(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()), 'memory that no configuration states is not predicted');
	t.end();
});

test('a peer cannot tell more memory than its open requests can hold', t => {
	const told: unknown[] = [];
	const {selector} = create(t, ['i-1', 'i-2'], {
		onImpossibleMemory(row) {
			told.push(row);
		},
	});
	tell(selector, 'i-1', {open: 0, memoryTokens: 1e300});
	tell(selector, 'i-2', {open: 1, memoryTokens: 1e9});
	t.same(told, [
		{
			node: 'n2', incarnation: 'i-1', toldTokens: 1e300, keptTokens: 0,
		},
		{
			node: 'n2', incarnation: 'i-2', toldTokens: 1e9, keptTokens: cacheTokens,
		},
	]);
	t.ok(selector.hasRoom(findEndpoint(selector, 'i-1'), createCriteria()));
	t.ok(selector.getRoomInMs(findEndpoint(selector, 'i-2'), createCriteria()) <= 2000);
	tell(selector, 'i-2', {open: 1, memoryTokens: 5000});
	t.ok(selector.hasRoom(findEndpoint(selector, 'i-2'), createCriteria()), 'the next row replaces it');
	t.end();
});

test('some endpoint is always chosen, one with room if any has room, and the most urgent class waits at none longer than others', t => {
	const row = fc.record({open: fc.integer({min: 0, max: 80}), memoryTokens: fc.integer({min: 0, max: 60_000})});
	const clock = new Clock();
	t.teardown(clock.enter());
	fc.assert(fc.property(fc.array(row, {minLength: 3, maxLength: 3}), fc.integer({min: 0, max: 30_000}), (rows, promptTokens) => {
		const selector = createWithoutClock(['i-1', 'i-2', 'i-3']);
		for (const [index, load] of rows.entries()) {
			tell(selector, `i-${index + 1}`, load);
		}

		const criteria = createCriteria({promptTokens, parts: [{id: 'own', tokens: promptTokens}]});
		const chosen = selector.choose(criteria);
		const isUrgentFirst = ['i-1', 'i-2', 'i-3'].every(id => {
			const only = {...criteria, tried: new Set(['i-1', 'i-2', 'i-3'].filter(other => other !== id))};
			const lower = selector.choose(only);
			const urgent = selector.choose({...only, urgency: 0, isMostUrgent: true});
			return lower !== undefined && urgent !== undefined && urgent.costMs <= lower.costMs;
		});
		const isAnyFree = ['i-1', 'i-2', 'i-3'].some(id => selector.hasRoom(findEndpoint(selector, id), criteria));
		return chosen !== undefined && isUrgentFirst && chosen.memoryTokens >= 0 && (!isAnyFree || chosen.roomInMs === 0);
	}));
	t.end();
});

test('without the setting nothing is told of memory, and choices are the same whatever peers tell', t => {
	const {selector} = create(t, ['i-1', 'i-2'], {isMemoryPredicted: false});
	tell(selector, 'i-1', {open: 1, memoryTokens: 1e12});
	tell(selector, 'i-2', {open: 2, memoryTokens: 0});
	const selection = selector.choose(createCriteria())!;
	t.equal(selection.endpoint.id, 'i-1');
	t.equal(selection.roomInMs, 0);
	selector.open(selection, createCriteria());
	t.ok(selector.listOwn().loads.every(([, {memoryTokens}]) => memoryTokens === 0));
	t.end();
});
