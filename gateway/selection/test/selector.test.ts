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

function createQuestion(change: Partial<SelectionCriteria> = {}): SelectionCriteria {
	return {
		pool: 'engines', objectiveMs: 250, pauseObjectiveMs: 0, urgency: 0, promptTokens: 800, parts: [{id: 'shared', tokens: 600}, {id: 'own', tokens: 200}], tried: new Set(), ...change,
	};
}

function createFilled(t: Test, ids: readonly string[]): {readonly selector: Selector; readonly clock: Clock} {
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

function toLoad(open: number, unreadTokens: number): EndpointLoad {
	return {
		open, pendingPrefill: unreadTokens === 0 ? [] : [unreadTokens], sensitivity: 0, observers: 0, stalledObservers: 0, prefilledTokens: 0, prefillMs: 0,
	};
}

function choose(selector: Selector, question: SelectionCriteria): string {
	return selector.choose(question)?.endpoint.id ?? 'none';
}

function send(selector: Selector, question: SelectionCriteria) {
	const selection = selector.choose(question);
	if (selection === undefined) {
		throw new TypeError('no endpoint');
	}

	return {id: selection.endpoint.id, work: selector.open(selection, question)};
}

test('a draining or removed endpoint gets nothing, and tried ones are not tried again', t => {
	const {selector} = createFilled(t, ['i-1', 'i-2']);
	const first = choose(selector, createQuestion());
	const second = choose(selector, createQuestion({tried: new Set([first])}));
	t.same(new Set([first, second]), new Set(['i-1', 'i-2']));
	t.equal(choose(selector, createQuestion({tried: new Set([first, second])})), 'none');
	selector.addEndpoint(createEndpoint(first, {state: 'draining'}));
	t.equal(choose(selector, createQuestion()), second);
	selector.removeEndpoint(second);
	t.equal(choose(selector, createQuestion()), 'none');
	t.end();
});

test('prompts that share parts keep to the endpoint that holds them, on every node that was told', t => {
	const {selector} = createFilled(t, ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6']);
	const other = createSelector(options);
	other.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const id of ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6']) {
		other.addEndpoint(createEndpoint(id));
	}

	for (let subject = 0; subject < 20; subject++) {
		const question = createQuestion({promptTokens: 3000, parts: [{id: `subject-${subject}`, tokens: 2800}, {id: `own-${subject}`, tokens: 200}]});
		const {id, work} = send(selector, question);
		work.close('done');
		const news = selector.takeLoadUpdate();
		other.applyLoadUpdate('n1', news ?? {loads: [], placements: []});
		t.equal(choose(selector, question), id);
		t.equal(choose(other, question), id);
	}

	t.end();
});

test('a part that was dropped for lack of memory draws no prompts', t => {
	const {selector} = createFilled(t, ['i-1', 'i-2']);
	const question = createQuestion({promptTokens: 3000, parts: [{id: 'subject', tokens: 2800}, {id: 'own', tokens: 200}]});
	const {id, work} = send(selector, question);
	work.close('done');
	t.equal(selector.choose(question)?.heldTokens, 2800);
	selector.applyLoadUpdate('n2', {
		loads: [], placements: [{
			endpoint: id, pool: 'engines', parts: ['else'], tokens: 500_000,
		}],
	});
	t.equal(selector.choose(question)?.heldTokens, 0);
	t.end();
});

/**
Opens a stream with a short pause objective at an endpoint.
*/
function openStream(selector: Selector, id: string, ids: readonly string[]) {
	const question = createQuestion({
		promptTokens: 10, pauseObjectiveMs: 200, parts: [{id: 'own', tokens: 10}], tried: new Set(ids.filter(other => other !== id)),
	});
	const {work} = send(selector, question);
	work.markChunk();
	return work;
}

test('a long prompt goes where no stream pauses for it, a short one may be read beside streams', t => {
	const ids = ['i-1', 'i-2', 'i-3'];
	const {selector} = createFilled(t, ids);
	for (const id of ['i-1', 'i-2']) {
		openStream(selector, id, ids);
		openStream(selector, id, ids);
	}

	const long = createQuestion({
		promptTokens: 12_000, objectiveMs: 2000, parts: [{id: 'own', tokens: 12_000}],
	});
	t.equal(choose(selector, long), 'i-3');
	selector.applyLoadUpdate('n2', {loads: [['i-3', toLoad(1, 9000)]], placements: []});
	t.equal(choose(selector, long), 'i-3', 'an engine that reads already');
	t.not(choose(selector, createQuestion({promptTokens: 1000, parts: [{id: 'own', tokens: 1000}]})), 'i-3');
	t.end();
});

test('a stream keeps away from engines that read much of late, as long as others have room', t => {
	const ids = ['i-1', 'i-2'];
	const {selector, clock} = createFilled(t, ids);
	const stream = createQuestion({pauseObjectiveMs: 200, objectiveMs: 600});
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
	t.equal(choose(selector, stream), 'i-1', 'rather a pause than a wait that is longer than the objective');
	t.end();
});

test('a prompt does not wait for those that rank behind it, but for what was begun', t => {
	const {selector} = createFilled(t, ['i-1']);
	const late = send(selector, createQuestion({promptTokens: 8000, urgency: 2, parts: [{id: 'own', tokens: 8000}]}));
	t.same(selector.listOwn().loads[0]?.[1].pendingPrefill, [0, 0, 8000]);
	const question = createQuestion({promptTokens: 400, parts: [{id: 'own', tokens: 400}]});
	const costMs = selector.choose(question)?.costMs ?? Infinity;
	t.ok(costMs > 4400 / 50 && costMs < 8400 / 50, `${costMs} ms`);
	t.ok((selector.choose({...question, urgency: 2})?.costMs ?? 0) >= 8400 / 50);
	late.work.close('cancelled');
	t.end();
});

/**
Two nodes that tell each other of their work at engines `i-1` and `i-2`.
*/
function createPair(t: Test) {
	const ids = ['i-1', 'i-2'];
	const {selector: first, clock} = createFilled(t, ids);
	const second = createSelector(options);
	second.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const id of ids) {
		second.addEndpoint(createEndpoint(id));
	}

	function exchangeNews(): void {
		for (const [node, from, to] of [['n1', first, second], ['n2', second, first]] as const) {
			const news = from.takeLoadUpdate();
			if (news !== undefined) {
				to.applyLoadUpdate(node, news);
			}
		}
	}

	return {
		first,
		second,
		ids,
		/**
		Lets time pass, with an exchange of news and a piece of each of `streams` every 50 ms.
		*/
		advance(milliseconds: number, streams: ReadonlyArray<ReturnType<typeof openStream>> = []) {
			for (let passed = 0; passed < milliseconds; passed += 50) {
				clock.advance(50);
				for (const stream of streams) {
					stream.markChunk();
				}

				exchangeNews();
			}
		},
	};
}

test('an engine that owes pieces and sends none to any node is left by new prompts, and waiting ones are told', t => {
	const {first, second, ids, advance} = createPair(t);
	openStream(first, 'i-1', ids);
	openStream(second, 'i-1', ids);
	const told: string[] = [];
	const waiting = send(second, createQuestion({promptTokens: 4000, pauseObjectiveMs: 200, tried: new Set(['i-2'])}));
	waiting.work.onStalled(() => {
		told.push(waiting.id);
	});
	advance(300);
	t.same(told, []);
	advance(800);
	t.same(told, ['i-1']);
	for (const selector of [first, second]) {
		t.equal(choose(selector, createQuestion({promptTokens: 20_000, parts: [{id: 'own', tokens: 20_000}]})), 'i-2');
	}

	t.end();
});

test('an engine that one node hears of is not silent, nor one that waits for a slow caller', t => {
	const {first, second, ids, advance} = createPair(t);
	const told: string[] = [];
	const cut = openStream(first, 'i-1', ids);
	cut.onStalled(() => {
		told.push('cut off');
	});
	const heard = openStream(second, 'i-1', ids);
	const paused = openStream(second, 'i-2', ids);
	paused.onStalled(() => {
		told.push('slow caller');
	});
	paused.markPaused();
	advance(3000, [heard]);
	t.same(told, []);
	heard.close('done');
	advance(1500);
	t.same(told, ['cut off']);
	t.end();
});

test('work that peers report moves the choice, until the peer is gone', t => {
	const {selector} = createFilled(t, []);
	selector.addEndpoint(createEndpoint('p-1', {pool: 'plain', slots: 6}));
	selector.addEndpoint(createEndpoint('p-2', {pool: 'plain', slots: 6}));
	const question = createQuestion({pool: 'plain', promptTokens: 0, parts: []});
	selector.applyLoadUpdate('n2', {loads: [['p-1', toLoad(5, 0)]], placements: []});
	t.equal(choose(selector, question), 'p-2');
	selector.applyLoadUpdate('n3', {loads: [['p-2', toLoad(7, 0)]], placements: []});
	t.equal(choose(selector, question), 'p-1');
	selector.removeNode('n3');
	t.equal(choose(selector, question), 'p-2');
	t.end();
});

test('an endpoint that cannot be reached is left at once, one that fails after the second time, both only for a while', t => {
	const {selector, clock} = createFilled(t, []);
	selector.addEndpoint(createEndpoint('p-1', {pool: 'plain'}));
	selector.addEndpoint(createEndpoint('p-2', {pool: 'plain'}));
	const question = createQuestion({pool: 'plain', promptTokens: 0, parts: []});
	const failing = createQuestion({
		pool: 'plain', promptTokens: 0, parts: [], tried: new Set(['p-2']),
	});
	send(selector, failing).work.close('failed');
	selector.applyLoadUpdate('n2', {loads: [['p-2', toLoad(9, 0)]], placements: []});
	t.equal(choose(selector, question), 'p-1');
	send(selector, failing).work.close('failed');
	t.equal(choose(selector, question), 'p-2');
	clock.advance(1001);
	t.equal(choose(selector, question), 'p-1');
	send(selector, failing).work.close('done');
	send(selector, failing).work.close('gone');
	t.equal(choose(selector, question), 'p-2');
	t.equal(choose(selector, createQuestion({pool: 'plain', tried: new Set(['p-2'])})), 'p-1', 'rather that than nothing');
	t.end();
});

test('a node tells of its own work in full, and only of what has changed', t => {
	const {selector} = createFilled(t, ['i-1']);
	const {work} = send(selector, createQuestion());
	t.match(selector.takeLoadUpdate(), {
		loads: [['i-1', toLoad(1, 800)]], placements: [{
			endpoint: 'i-1', parts: ['shared'], tokens: 800,
		}],
	});
	t.equal(selector.takeLoadUpdate(), undefined);
	work.markChunk();
	t.match(selector.takeLoadUpdate(), {loads: [['i-1', toLoad(1, 0)]], placements: []});
	work.close('done');
	work.close('failed');
	t.match(selector.listOwn(), {loads: [['i-1', toLoad(0, 0)]]});
	t.end();
});

/**
Reads a prompt of 2,000 tokens at each endpoint in turn, with the given milliseconds to the first token.
*/
function readPrompts(selector: Selector, clock: Clock, times: Readonly<Record<string, number>>): void {
	for (let turn = 0; turn < 12; turn++) {
		for (const [id, milliseconds] of Object.entries(times)) {
			const question = createQuestion({promptTokens: 2000, parts: [{id: `${id}-${turn}`, tokens: 2000}], tried: new Set(Object.keys(times).filter(other => other !== id))});
			const {work} = send(selector, question);
			clock.advance(milliseconds);
			work.markChunk();
			work.close('done');
		}
	}
}

test('streams keep away from engines that read slowly, where reading makes longer pauses', t => {
	for (const slow of ['i-1', 'i-2', 'i-3', 'i-4']) {
		const ids = ['i-1', 'i-2', 'i-3', 'i-4'];
		const {selector, clock} = createFilled(t, ids);
		readPrompts(selector, clock, {
			'i-1': 50, 'i-2': 50, 'i-3': 50, 'i-4': 50, [slow]: 65,
		});
		const [first = ''] = ids;
		const work = openStream(selector, first, ids);
		selector.applyLoadUpdate('n2', {loads: [[first, toLoad(1, 60_000)]], placements: []});
		work.markChunk();
		for (let pause = 0; pause < 12; pause++) {
			clock.advance(190);
			work.markChunk();
		}

		work.close('done');
		selector.removeNode('n2');
		selector.applyLoadUpdate('n2', {
			loads: [], placements: ids.map(endpoint => ({
				endpoint, pool: 'engines', parts: [], tokens: 30_000,
			})),
		});
		clock.advance(3000);
		for (let index = 0; index < 5; index++) {
			t.not(choose(selector, createQuestion({pauseObjectiveMs: 200, parts: [{id: `new-${index}`, tokens: 600}, {id: 'own', tokens: 200}]})), slow);
		}
	}

	t.end();
});

test('a prompt that waited behind others says nothing of its engine', t => {
	const {selector, clock} = createFilled(t, ['i-1', 'i-2']);
	readPrompts(selector, clock, {'i-1': 50, 'i-2': 50});
	const before = selector.listOwn().loads.map(([, {prefilledTokens: readTokens}]) => readTokens);
	const question = createQuestion({promptTokens: 4000, parts: [{id: 'queue', tokens: 4000}], tried: new Set(['i-2'])});
	const first = send(selector, question);
	const second = send(selector, question);
	clock.advance(500);
	second.work.markChunk();
	t.same(selector.listOwn().loads.map(([, {prefilledTokens: readTokens}]) => readTokens), before);
	first.work.markChunk();
	t.not(selector.listOwn().loads.map(([, {prefilledTokens: readTokens}]) => readTokens)[0], before[0]);
	t.end();
});

test('of engines that are alike one with an open connection is taken, a less loaded one before it', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	for (const connected of ['i-1', 'i-2', 'i-3']) {
		const selector = createSelector({...options, hasConnection: address => address === `${connected}:80`});
		selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
		for (const id of ['i-1', 'i-2', 'i-3']) {
			selector.addEndpoint(createEndpoint(id));
		}

		const question = createQuestion({parts: [{id: 'own', tokens: 800}]});
		t.equal(choose(selector, question), connected);
		selector.applyLoadUpdate('n2', {loads: [[connected, toLoad(4, 4000)]], placements: []});
		t.not(choose(selector, question), connected, 'reading 4,000 tokens takes longer than a new connection');
	}

	t.end();
});
