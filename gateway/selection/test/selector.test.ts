import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {
	createSelector,
	type EndpointLoad,
	type SelectionQuestion,
	type Selector,
} from '@valvesaddle/selection';

const options = {
	longPromptTokens: 5000, longShare: 0.5, shortUse: 0.5, longUse: 0.8, shortFillUse: 0.6, laneAverageMs: 3000, leaveLaneShare: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};

function createQuestion(change: Partial<SelectionQuestion> = {}): SelectionQuestion {
	return {
		pool: 'engines', objectiveMs: 250, promptTokens: 800, parts: [{id: 'shared', tokens: 600}, {id: 'own', tokens: 200}], tried: new Set(), ...change,
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

function toLoad(open: number, prefillTokens: number): EndpointLoad {
	return {
		open, prefillTokens, longTokens: 0, shortOpen: open, readTokens: 0, readMs: 0,
	};
}

function choose(selector: Selector, question: SelectionQuestion): string {
	return selector.choose(question)?.endpoint.id ?? 'none';
}

function send(selector: Selector, question: SelectionQuestion) {
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
		const news = selector.takeNews();
		other.applyNews('n1', news ?? {loads: [], placements: []});
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
	selector.applyNews('n2', {
		loads: [], placements: [{
			endpoint: id, pool: 'engines', parts: ['else'], tokens: 500_000, isLong: false,
		}],
	});
	t.equal(selector.choose(question)?.heldTokens, 0);
	t.end();
});

test('long prompts and short ones keep apart, and a short one leaves when its own endpoints are full', t => {
	const ids = ['i-1', 'i-2', 'i-3', 'i-4'];
	const {selector} = createFilled(t, ids);
	const long = new Set<string>();
	const short = new Set<string>();
	for (let index = 0; index < 20; index++) {
		const parts = [{id: `s-${index}`, tokens: 10}, {id: 'own', tokens: 1}];
		if (index === 10) {
			// The lanes follow the demand from here on.
			long.clear();
			short.clear();
		}

		long.add(send(selector, createQuestion({promptTokens: 12_000, objectiveMs: 2000, parts})).id);
		const one = send(selector, createQuestion({parts, promptTokens: 4000}));
		short.add(one.id);
		one.work.markBegun();
	}

	t.same(long.intersection(short), new Set());
	selector.applyNews('n2', {loads: [...short].map(id => [id, toLoad(80, 60_000)]), placements: []});
	t.notOk(short.has(choose(selector, createQuestion())));
	t.end();
});

test('work that peers report moves the choice, until the peer is gone', t => {
	const {selector} = createFilled(t, []);
	selector.addEndpoint(createEndpoint('p-1', {pool: 'plain', slots: 6}));
	selector.addEndpoint(createEndpoint('p-2', {pool: 'plain', slots: 6}));
	const question = createQuestion({pool: 'plain', promptTokens: 0, parts: []});
	selector.applyNews('n2', {loads: [['p-1', toLoad(5, 0)]], placements: []});
	t.equal(choose(selector, question), 'p-2');
	selector.applyNews('n3', {loads: [['p-2', toLoad(7, 0)]], placements: []});
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
	selector.applyNews('n2', {loads: [['p-2', toLoad(9, 0)]], placements: []});
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
	t.match(selector.takeNews(), {
		loads: [['i-1', toLoad(1, 800)]], placements: [{
			endpoint: 'i-1', parts: ['shared'], tokens: 800, isLong: false,
		}],
	});
	t.equal(selector.takeNews(), undefined);
	work.markBegun();
	t.match(selector.takeNews(), {loads: [['i-1', toLoad(1, 0)]], placements: []});
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
			work.markBegun();
			work.close('done');
		}
	}
}

test('long prompts keep to the engines that read slowly', t => {
	for (const slow of ['i-1', 'i-2', 'i-3', 'i-4']) {
		const {selector, clock} = createFilled(t, ['i-1', 'i-2', 'i-3', 'i-4']);
		readPrompts(selector, clock, {
			'i-1': 50, 'i-2': 50, 'i-3': 50, 'i-4': 50, [slow]: 65,
		});
		clock.advance(60_000);
		for (let index = 0; index < 5; index++) {
			t.not(choose(selector, createQuestion({parts: [{id: `new-${index}`, tokens: 600}, {id: 'own', tokens: 200}]})), slow);
		}
	}

	t.end();
});

test('a prompt that waited behind others says nothing of its engine', t => {
	const {selector, clock} = createFilled(t, ['i-1', 'i-2']);
	readPrompts(selector, clock, {'i-1': 50, 'i-2': 50});
	const before = selector.listOwn().loads.map(([, {readTokens}]) => readTokens);
	const question = createQuestion({promptTokens: 4000, parts: [{id: 'queue', tokens: 4000}], tried: new Set(['i-2'])});
	const first = send(selector, question);
	const second = send(selector, question);
	clock.advance(500);
	second.work.markBegun();
	t.same(selector.listOwn().loads.map(([, {readTokens}]) => readTokens), before);
	first.work.markBegun();
	t.not(selector.listOwn().loads.map(([, {readTokens}]) => readTokens)[0], before[0]);
	t.end();
});
