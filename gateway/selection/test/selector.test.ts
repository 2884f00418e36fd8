import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {
	createSelector,
	type EndpointLoad,
	type SelectionCriteria,
	type Selector,
} from '@valvesaddle/selection';

const options = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};

function createCriteria(change: Partial<SelectionCriteria> = {}): SelectionCriteria {
	return {
		pool: 'engines', objectiveMs: 250, pauseObjectiveMs: 0, urgency: 0, promptTokens: 800, parts: [{id: 'shared', tokens: 600}, {id: 'own', tokens: 200}], tried: new Set(), ...change,
	};
}

function createWithEndpoints(t: Test, ids: readonly string[]): {readonly selector: Selector; readonly clock: Clock} {
	const clock = new Clock();
	t.teardown(clock.enter());
	const selector = createSelector(options);
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}, {name: 'plain', engine: undefined}]);
	for (const id of ids) {
		selector.addEndpoint(createEndpoint(id));
	}

	return {selector, clock};
}

function createEndpoint(id: string, change: Partial<ServingEndpoint> = {}): ServingEndpoint {
	return {
		id, pool: 'engines', address: `${id}:80`, dataCentre: 'a', slots: 64, state: 'ready', ...change,
	};
}

function toLoad(open: number, pendingTokens: number): EndpointLoad {
	return {
		open, pendingPrefill: pendingTokens === 0 ? [] : [pendingTokens], sensitivity: 0, observers: 0, stalledObservers: 0, prefilledTokens: 0, prefillMs: 0, protectedStreams: 0, memoryTokens: 0,
	};
}

function choose(selector: Selector, criteria: SelectionCriteria): string {
	return selector.choose(criteria)?.endpoint.id ?? 'none';
}

function send(selector: Selector, criteria: SelectionCriteria) {
	const selection = selector.choose(criteria);
	if (selection === undefined) {
		throw new TypeError('no endpoint');
	}

	return {id: selection.endpoint.id, request: selector.open(selection, criteria)};
}

test('engines that prefill fast are chosen for a cached prefix only while the wait for it is shorter', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const held = [false, true].map(isRereadByRate => {
		const selector = createSelector({...options, isRereadByRate});
		selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
		selector.addEndpoint(createEndpoint('i-1'));
		const criteria = createCriteria({promptTokens: 4000, parts: [{id: 'shared', tokens: 2000}, {id: 'own', tokens: 2000}]});
		const {request} = send(selector, criteria);
		clock.advance(30);
		request.markChunk();
		request.close('done');
		selector.addEndpoint(createEndpoint('i-2'));
		selector.applyLoadUpdate('n-2', {loads: [['i-1', toLoad(1, 60_000)]], placements: []});
		return choose(selector, criteria);
	});
	t.same(held, ['i-1', 'i-2']);
	t.end();
});

test('a draining, removed or tried endpoint is not chosen', t => {
	const {selector} = createWithEndpoints(t, ['i-1', 'i-2']);
	const first = choose(selector, createCriteria());
	const second = choose(selector, createCriteria({tried: new Set([first])}));
	t.same(new Set([first, second]), new Set(['i-1', 'i-2']));
	t.equal(choose(selector, createCriteria({tried: new Set([first, second])})), 'none');
	selector.addEndpoint(createEndpoint(first, {state: 'draining'}));
	t.equal(choose(selector, createCriteria()), second);
	selector.removeEndpoint(second);
	t.equal(choose(selector, createCriteria()), 'none');
	t.end();
});

test('prompts with shared parts are sent to the endpoint that has cached them, by every node that got the load update', t => {
	const {selector} = createWithEndpoints(t, ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6']);
	const other = createSelector(options);
	other.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const id of ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6']) {
		other.addEndpoint(createEndpoint(id));
	}

	for (let subject = 0; subject < 20; subject++) {
		const criteria = createCriteria({promptTokens: 3000, parts: [{id: `subject-${subject}`, tokens: 2800}, {id: `own-${subject}`, tokens: 200}]});
		const {id, request} = send(selector, criteria);
		request.close('done');
		const update = selector.takeLoadUpdate();
		other.applyLoadUpdate('n1', update ?? {loads: [], placements: []});
		t.equal(choose(selector, criteria), id);
		t.equal(choose(other, criteria), id);
	}

	t.end();
});

test('a part that was evicted from the cache does not count as cached', t => {
	const {selector} = createWithEndpoints(t, ['i-1', 'i-2']);
	const criteria = createCriteria({promptTokens: 3000, parts: [{id: 'subject', tokens: 2800}, {id: 'own', tokens: 200}]});
	const {id, request} = send(selector, criteria);
	request.close('done');
	t.equal(selector.choose(criteria)?.heldTokens, 2800);
	selector.applyLoadUpdate('n2', {
		loads: [], placements: [{
			endpoint: id, pool: 'engines', parts: ['else'], tokens: 500_000,
		}],
	});
	t.equal(selector.choose(criteria)?.heldTokens, 0);
	t.end();
});

/**
Opens a stream with a short pause objective at an endpoint.
*/
function openStream(selector: Selector, id: string, ids: readonly string[]) {
	const criteria = createCriteria({
		promptTokens: 10, pauseObjectiveMs: 200, parts: [{id: 'own', tokens: 10}], tried: new Set(ids.filter(other => other !== id)),
	});
	const {request} = send(selector, criteria);
	request.markChunk();
	return request;
}

test('a long prompt is sent to an endpoint without streams, a short one may be sent to one with streams', t => {
	const ids = ['i-1', 'i-2', 'i-3'];
	const {selector} = createWithEndpoints(t, ids);
	for (const id of ['i-1', 'i-2']) {
		openStream(selector, id, ids);
		openStream(selector, id, ids);
	}

	const long = createCriteria({
		promptTokens: 12_000, objectiveMs: 2000, parts: [{id: 'own', tokens: 12_000}],
	});
	t.equal(choose(selector, long), 'i-3');
	selector.applyLoadUpdate('n2', {loads: [['i-3', toLoad(1, 9000)]], placements: []});
	t.equal(choose(selector, long), 'i-3', 'an engine that already has a prefill backlog');
	t.not(choose(selector, createCriteria({promptTokens: 1000, parts: [{id: 'own', tokens: 1000}]})), 'i-3');
	t.end();
});

test('a stream is not sent to an engine with much recent prefill, unless the others are overloaded', t => {
	const ids = ['i-1', 'i-2'];
	const {selector, clock} = createWithEndpoints(t, ids);
	const stream = createCriteria({pauseObjectiveMs: 200, objectiveMs: 600});
	for (const busy of ids) {
		selector.applyLoadUpdate('n2', {
			loads: [], placements: [{
				endpoint: busy, pool: 'engines', parts: [], tokens: 15_000,
			}],
		});
		t.not(choose(selector, stream), busy);
		clock.advance(60_000);
	}

	selector.applyLoadUpdate('n2', {
		loads: [['i-2', toLoad(3, 60_000)]], placements: [{
			endpoint: 'i-1', pool: 'engines', parts: [], tokens: 15_000,
		}],
	});
	t.equal(choose(selector, stream), 'i-1', 'a pause costs less than a wait that exceeds the objective');
	t.end();
});

test('a prompt waits for lower ranks only as far as their prefill has started', t => {
	const {selector} = createWithEndpoints(t, ['i-1']);
	const late = send(selector, createCriteria({promptTokens: 8000, urgency: 2, parts: [{id: 'own', tokens: 8000}]}));
	t.same(selector.listOwn().loads[0]?.[1].pendingPrefill, [0, 0, 8000]);
	const criteria = createCriteria({promptTokens: 400, parts: [{id: 'own', tokens: 400}]});
	const costMs = selector.choose(criteria)?.costMs ?? Infinity;
	t.ok(costMs > 4400 / 50 && costMs < 8400 / 50, `${costMs} ms`);
	t.ok((selector.choose({...criteria, urgency: 2})?.costMs ?? 0) >= 8400 / 50);
	late.request.close('cancelled');
	t.end();
});

/**
Two nodes that send each other load updates for engines `i-1` and `i-2`.
*/
function createPair(t: Test) {
	const ids = ['i-1', 'i-2'];
	const {selector: first, clock} = createWithEndpoints(t, ids);
	const second = createSelector(options);
	second.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const id of ids) {
		second.addEndpoint(createEndpoint(id));
	}

	function exchangeUpdates(): void {
		for (const [node, from, to] of [['n1', first, second], ['n2', second, first]] as const) {
			const update = from.takeLoadUpdate();
			if (update !== undefined) {
				to.applyLoadUpdate(node, update);
			}
		}
	}

	return {
		first,
		second,
		ids,
		/**
		Advances the clock, with an exchange of load updates and a chunk of each of `streams` every 50 ms.
		*/
		advance(milliseconds: number, streams: ReadonlyArray<ReturnType<typeof openStream>> = []) {
			for (let passed = 0; passed < milliseconds; passed += 50) {
				clock.advance(50);
				for (const stream of streams) {
					stream.markChunk();
				}

				exchangeUpdates();
			}
		},
	};
}

test('a stalled engine gets no new prompts, and its waiting requests are notified', t => {
	const {first, second, ids, advance} = createPair(t);
	openStream(first, 'i-1', ids);
	openStream(second, 'i-1', ids);
	const notified: string[] = [];
	const waiting = send(second, createCriteria({promptTokens: 4000, pauseObjectiveMs: 200, tried: new Set(['i-2'])}));
	waiting.request.onStalled(() => {
		notified.push(waiting.id);
	});
	advance(300);
	t.same(notified, []);
	advance(800);
	t.same(notified, ['i-1']);
	for (const selector of [first, second]) {
		t.equal(choose(selector, createCriteria({promptTokens: 20_000, parts: [{id: 'own', tokens: 20_000}]})), 'i-2');
	}

	t.end();
});

test('an engine that sends chunks to one node is not stalled, nor one that waits for a slow caller', t => {
	const {first, second, ids, advance} = createPair(t);
	const notified: string[] = [];
	const stalled = openStream(first, 'i-1', ids);
	stalled.onStalled(() => {
		notified.push('stalled');
	});
	const receiving = openStream(second, 'i-1', ids);
	const paused = openStream(second, 'i-2', ids);
	paused.onStalled(() => {
		notified.push('slow caller');
	});
	paused.markPaused();
	advance(3000, [receiving]);
	t.same(notified, []);
	receiving.close('done');
	advance(1500);
	t.same(notified, ['stalled']);
	t.end();
});

/**
Records the name of a request when its endpoint is stalled.
*/
function watchStall(request: ReturnType<typeof openStream>, name: string, stalled: string[]): void {
	request.onStalled(() => {
		stalled.push(name);
	});
}

test('of the requests at a stalled engine only those are notified that are overdue', t => {
	const {first, second, ids, advance} = createPair(t);
	const stalled: string[] = [];
	openStream(first, 'i-1', ids);
	watchStall(openStream(second, 'i-1', ids), 'overdue', stalled);
	const paused = openStream(second, 'i-1', ids);
	paused.markPaused();
	watchStall(paused, 'slow caller', stalled);
	advance(900);
	const criteria = createCriteria({pauseObjectiveMs: 200, tried: new Set(['i-2'])});
	watchStall(send(second, criteria).request, 'in time', stalled);
	advance(400);
	t.same(stalled, ['overdue']);
	t.equal(choose(second, createCriteria()), 'i-2', 'new requests are sent elsewhere');
	t.end();
});

test('an engine that falls silent for all nodes is found within 1.3 s, and all overdue requests are notified', t => {
	const {first, second, ids, advance} = createPair(t);
	const stalled: string[] = [];
	const streams = [openStream(first, 'i-1', ids), openStream(second, 'i-1', ids), openStream(second, 'i-1', ids)];
	advance(2000, streams);
	for (const [index, stream] of streams.entries()) {
		watchStall(stream, `stream ${index}`, stalled);
	}

	watchStall(send(first, createCriteria({pauseObjectiveMs: 200, tried: new Set(['i-2'])})).request, 'waiting', stalled);
	advance(1300);
	t.same(stalled.toSorted(), ['stream 0', 'stream 1', 'stream 2', 'waiting']);
	for (const selector of [first, second]) {
		t.equal(choose(selector, createCriteria()), 'i-2');
	}

	t.end();
});

test('a peer that reported an engine as stalled and then nothing more does not keep it ejected, and a stall is found anew', t => {
	const ids = ['i-1', 'i-2'];
	const {selector, clock} = createWithEndpoints(t, ids);
	const stalled: string[] = [];
	const chosen = new Set<string>();
	selector.applyLoadUpdate('n2', {loads: [['i-1', {...toLoad(1, 0), observers: 1, stalledObservers: 1}]], placements: []});
	selector.takeLoadUpdate();
	t.equal(choose(selector, createCriteria({promptTokens: 10, parts: [{id: 'own', tokens: 10}]})), 'i-2', 'other nodes eject it at once');
	selector.applyLoadUpdate('n3', {loads: [['i-2', toLoad(60, 0)]], placements: []});
	for (let passed = 0; passed < 20_000; passed += 100) {
		clock.advance(100);
		selector.takeLoadUpdate();
		if (passed >= 10_000) {
			chosen.add(choose(selector, createCriteria({promptTokens: 10, parts: [{id: 'own', tokens: 10}]})));
		}
	}

	t.same(chosen, new Set(['i-1']));
	watchStall(openStream(selector, 'i-1', ids), 'stream', stalled);
	for (let passed = 0; passed < 1300; passed += 50) {
		clock.advance(50);
		selector.takeLoadUpdate();
	}

	t.same(stalled, ['stream']);
	t.equal(choose(selector, createCriteria()), 'i-2');
	t.end();
});

test('a chunk ends the ejection of an engine that was silent, but not that of one that failed', t => {
	const ids = ['i-1', 'i-2'];
	for (const isFailed of [false, true]) {
		const {selector, clock} = createWithEndpoints(t, ids);
		const short = createCriteria({promptTokens: 10, parts: [{id: 'own', tokens: 10}]});
		const stream = openStream(selector, 'i-1', ids);
		const failing = openStream(selector, 'i-1', ids);
		clock.advance(isFailed ? 100 : 1100);
		selector.takeLoadUpdate();
		if (isFailed) {
			failing.close('gone');
		}

		selector.applyLoadUpdate('n2', {loads: [['i-2', toLoad(60, 0)]], placements: []});
		t.equal(choose(selector, short), 'i-2');
		stream.markChunk();
		t.equal(choose(selector, short), isFailed ? 'i-2' : 'i-1');
	}

	t.end();
});

test('a stream that waited for a slow caller is overdue when no chunk follows after the caller has read', t => {
	const {first, ids, advance} = createPair(t);
	const stalled: string[] = [];
	const stream = openStream(first, 'i-1', ids);
	watchStall(stream, 'stream', stalled);
	stream.markPaused();
	advance(5000);
	t.same(stalled, []);
	stream.markResumed();
	advance(900);
	t.same(stalled, [], 'the time before the caller has read does not count');
	advance(400);
	t.same(stalled, ['stream']);
	t.end();
});

test('an engine is not stalled for what a node has not read yet since it stood still', t => {
	const ids = ['i-1', 'i-2'];
	const {selector, clock} = createWithEndpoints(t, ids);
	const stream = openStream(selector, 'i-1', ids);
	let stalls = 0;
	stream.onStalled(() => {
		stalls++;
	});
	clock.advance(100);
	const readAt = performance.now();
	clock.advance(3000);
	selector.takeLoadUpdate(readAt);
	t.equal(stalls, 0);
	selector.takeLoadUpdate();
	t.equal(stalls, 1, 'the time until the call was read');
	t.end();
});

test('load that a peer reports counts until the peer is removed', t => {
	const {selector} = createWithEndpoints(t, []);
	selector.addEndpoint(createEndpoint('p-1', {pool: 'plain', slots: 6}));
	selector.addEndpoint(createEndpoint('p-2', {pool: 'plain', slots: 6}));
	const criteria = createCriteria({pool: 'plain', promptTokens: 0, parts: []});
	selector.applyLoadUpdate('n2', {loads: [['p-1', toLoad(5, 0)]], placements: []});
	t.equal(choose(selector, criteria), 'p-2');
	selector.applyLoadUpdate('n3', {loads: [['p-2', toLoad(7, 0)]], placements: []});
	t.equal(choose(selector, criteria), 'p-1');
	selector.removeNode('n3');
	t.equal(choose(selector, criteria), 'p-2');
	t.end();
});

test('an unreachable endpoint is ejected at once, a failing one after two failures, both for a limited time', t => {
	const {selector, clock} = createWithEndpoints(t, []);
	selector.addEndpoint(createEndpoint('p-1', {pool: 'plain'}));
	selector.addEndpoint(createEndpoint('p-2', {pool: 'plain'}));
	const criteria = createCriteria({pool: 'plain', promptTokens: 0, parts: []});
	const failing = createCriteria({
		pool: 'plain', promptTokens: 0, parts: [], tried: new Set(['p-2']),
	});
	send(selector, failing).request.close('failed');
	selector.applyLoadUpdate('n2', {loads: [['p-2', toLoad(9, 0)]], placements: []});
	t.equal(choose(selector, criteria), 'p-1');
	send(selector, failing).request.close('failed');
	t.equal(choose(selector, criteria), 'p-2');
	clock.advance(1001);
	t.equal(choose(selector, criteria), 'p-1');
	send(selector, failing).request.close('done');
	send(selector, failing).request.close('gone');
	t.equal(choose(selector, criteria), 'p-2');
	t.equal(choose(selector, createCriteria({pool: 'plain', tried: new Set(['p-2'])})), 'p-1', 'an ejected endpoint is chosen if there is no other');
	t.end();
});

test('a load update has only what has changed, and the node\'s own load is listed in full', t => {
	const {selector} = createWithEndpoints(t, ['i-1']);
	const {request} = send(selector, createCriteria());
	t.match(selector.takeLoadUpdate(), {
		loads: [['i-1', toLoad(1, 800)]], placements: [{
			endpoint: 'i-1', parts: ['shared'], tokens: 800,
		}],
	});
	t.equal(selector.takeLoadUpdate(), undefined);
	request.markChunk();
	t.match(selector.takeLoadUpdate(), {loads: [['i-1', toLoad(1, 0)]], placements: []});
	request.close('done');
	request.close('failed');
	t.match(selector.listOwn(), {loads: [['i-1', toLoad(0, 0)]]});
	t.end();
});

/**
Sends prompts of 2,000 tokens to each endpoint in turn, with the given milliseconds to the first token.
*/
function runPrompts(selector: Selector, clock: Clock, times: Readonly<Record<string, number>>): void {
	for (let turn = 0; turn < 12; turn++) {
		for (const [id, milliseconds] of Object.entries(times)) {
			const criteria = createCriteria({promptTokens: 2000, parts: [{id: `${id}-${turn}`, tokens: 2000}], tried: new Set(Object.keys(times).filter(other => other !== id))});
			const {request} = send(selector, criteria);
			clock.advance(milliseconds);
			request.markChunk();
			request.close('done');
		}
	}
}

test('streams are not sent to engines with slow prefill, which causes longer pauses', t => {
	for (const slow of ['i-1', 'i-2', 'i-3', 'i-4']) {
		const ids = ['i-1', 'i-2', 'i-3', 'i-4'];
		const {selector, clock} = createWithEndpoints(t, ids);
		runPrompts(selector, clock, {
			'i-1': 50, 'i-2': 50, 'i-3': 50, 'i-4': 50, [slow]: 65,
		});
		const [first = ''] = ids;
		const request = openStream(selector, first, ids);
		selector.applyLoadUpdate('n2', {loads: [[first, toLoad(1, 60_000)]], placements: []});
		request.markChunk();
		for (let pause = 0; pause < 12; pause++) {
			clock.advance(190);
			request.markChunk();
		}

		request.close('done');
		selector.removeNode('n2');
		selector.applyLoadUpdate('n2', {
			loads: [], placements: ids.map(endpoint => ({
				endpoint, pool: 'engines', parts: [], tokens: 30_000,
			})),
		});
		clock.advance(3000);
		for (let index = 0; index < 5; index++) {
			t.not(choose(selector, createCriteria({pauseObjectiveMs: 200, parts: [{id: `new-${index}`, tokens: 600}, {id: 'own', tokens: 200}]})), slow);
		}
	}

	t.end();
});

test('a prompt that waited behind others does not change the speed of its engine', t => {
	const {selector, clock} = createWithEndpoints(t, ['i-1', 'i-2']);
	runPrompts(selector, clock, {'i-1': 50, 'i-2': 50});
	const before = selector.listOwn().loads.map(([, {prefilledTokens}]) => prefilledTokens);
	const criteria = createCriteria({promptTokens: 4000, parts: [{id: 'queue', tokens: 4000}], tried: new Set(['i-2'])});
	const first = send(selector, criteria);
	const second = send(selector, criteria);
	clock.advance(500);
	second.request.markChunk();
	t.same(selector.listOwn().loads.map(([, {prefilledTokens}]) => prefilledTokens), before);
	first.request.markChunk();
	t.not(selector.listOwn().loads.map(([, {prefilledTokens}]) => prefilledTokens)[0], before[0]);
	t.end();
});

test('of equal engines one with an open connection is chosen, but a less loaded engine is preferred to it', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	for (const connected of ['i-1', 'i-2', 'i-3']) {
		const selector = createSelector({...options, hasConnection: address => address === `${connected}:80`});
		selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
		for (const id of ['i-1', 'i-2', 'i-3']) {
			selector.addEndpoint(createEndpoint(id));
		}

		const criteria = createCriteria({parts: [{id: 'own', tokens: 800}]});
		t.equal(choose(selector, criteria), connected);
		selector.applyLoadUpdate('n2', {loads: [[connected, toLoad(4, 4000)]], placements: []});
		t.not(choose(selector, criteria), connected, 'prefilling 4,000 tokens takes longer than a new connection');
	}

	t.end();
});
