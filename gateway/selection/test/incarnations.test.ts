import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {
	createSelector,
	formatIncarnation,
	noLoad,
	type SelectionCriteria,
	type Selector,
} from '@valvesaddle/selection';

const options = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const bornMs = 1000;
const againMs = 60_000;

const first: ServingEndpoint = {
	id: 'i-1', pool: 'engines', address: 'i-1:80', dataCentre: 'a', slots: 64, state: 'ready', born: bornMs,
};
const again: ServingEndpoint = {...first, born: againMs};
const other: ServingEndpoint = {...first, id: 'i-2', address: 'i-2:80'};
const oldName = formatIncarnation(first);
const newName = formatIncarnation(again);
const otherName = formatIncarnation(other);

function createQuestion(change: Partial<SelectionCriteria> = {}): SelectionCriteria {
	return {
		pool: 'engines', objectiveMs: 250, pauseObjectiveMs: 200, urgency: 0, promptTokens: 3000, parts: [{id: 'subject', tokens: 2800}, {id: 'own', tokens: 200}], tried: new Set(), ...change,
	};
}

function createFilled(t: Test, endpoints: readonly ServingEndpoint[]): {readonly selector: Selector; readonly clock: Clock} {
	const clock = new Clock();
	clock.advance(bornMs + 1);
	t.teardown(clock.enter());
	const selector = createSelector(options);
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const endpoint of endpoints) {
		selector.addEndpoint(endpoint);
	}

	return {selector, clock};
}

function send(selector: Selector, question: SelectionCriteria) {
	const selection = selector.choose(question);
	if (selection === undefined) {
		throw new TypeError('no endpoint');
	}

	return selector.open(selection, question);
}

function getOwn(selector: Selector, name: string) {
	return selector.listOwn().loads.find(([endpoint]) => endpoint === name)?.[1];
}

test('names of incarnations differ by id and start, and an endpoint that does not say its start goes by its id', t => {
	t.equal(new Set([oldName, newName, otherName, formatIncarnation({id: 'i-1'})]).size, 4);
	t.equal(formatIncarnation({id: 'i-1'}), 'i-1');
	t.end();
});

test('nothing of the process before is believed of the one that starts again under its id', t => {
	const {selector, clock} = createFilled(t, [first, other]);
	const fresh = createQuestion({tried: new Set([oldName, newName])});
	const same = createQuestion({tried: new Set([otherName])});
	const stream = send(selector, same);
	clock.advance(60);
	stream.markChunk();
	const waiting = send(selector, {...same, parts: [{id: 'else', tokens: 2800}, {id: 'own', tokens: 200}]});
	selector.applyLoadUpdate('n2', {loads: [[oldName, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	t.ok((selector.choose(same)?.costMs ?? 0) > 1000);
	t.ok((selector.choose(same)?.harmMs ?? 0) > 0);
	t.equal(selector.choose(same)?.heldTokens, 2800);
	waiting.close('gone');
	selector.setIncarnation(again);
	const {costMs, readMs, harmMs, heldTokens} = selector.choose(fresh) ?? {};
	t.match(selector.choose(same), {
		endpoint: again, costMs, readMs, harmMs, heldTokens,
	});
	t.same(selector.listOwn(), {loads: [], placements: []});
	t.equal(selector.takeLoadUpdate(), undefined);
	t.end();
});

test('an endpoint that failed is not kept away from after its process has started again', t => {
	const {selector} = createFilled(t, [first, other]);
	const question = createQuestion({tried: new Set([otherName])});
	send(selector, question).close('gone');
	t.equal(selector.choose(createQuestion())?.endpoint.id, 'i-2');
	selector.setIncarnation(again);
	selector.applyLoadUpdate('n2', {loads: [[otherName, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	t.equal(selector.choose(createQuestion())?.endpoint.id, 'i-1');
	t.end();
});

test('late reports of requests that were sent to the process before count nowhere', t => {
	for (const end of ['done', 'failed', 'gone', 'rejected', 'cancelled'] as const) {
		const {selector, clock} = createFilled(t, [first]);
		const late = send(selector, createQuestion());
		selector.setIncarnation(again);
		const current = send(selector, createQuestion());
		const before = getOwn(selector, newName);
		clock.advance(80);
		late.markChunk();
		late.markPaused();
		late.close(end);
		t.same(getOwn(selector, newName), before);
		t.equal(getOwn(selector, oldName), undefined);
		t.equal(selector.choose(createQuestion())?.endpoint.id, 'i-1');
		current.close('done');
		t.equal(getOwn(selector, newName)?.open, 0);
	}

	t.end();
});

test('requests of an endpoint that was removed and came back under the same name count no more either', t => {
	const {selector} = createFilled(t, [first]);
	const late = send(selector, createQuestion());
	selector.removeEndpoint('i-1');
	selector.addEndpoint(first);
	send(selector, createQuestion());
	late.close('done');
	t.equal(getOwn(selector, oldName)?.open, 1);
	t.end();
});

test('news of a peer about the process before are dropped, those about a new one hold before it is known', t => {
	const {selector} = createFilled(t, [first]);
	const load = {...noLoad, open: 9};
	selector.applyLoadUpdate('n2', {loads: [[newName, load]], placements: []});
	selector.setIncarnation(again);
	const placement = {
		endpoint: oldName, pool: 'engines', parts: ['subject'], tokens: 2800,
	};
	t.same(selector.applyLoadUpdate('n3', {loads: [[oldName, load], [newName, load]], placements: [placement]}), {loads: [[newName, load]], placements: []});
	const news = selector.choose(createQuestion());
	t.equal(news?.heldTokens, 0);
	const busy = createFilled(t, [again]).selector;
	busy.applyLoadUpdate('n2', {loads: [[newName, {...load, open: 18}]], placements: []});
	t.equal(news?.costMs, busy.choose(createQuestion())?.costMs);
	t.end();
});

test('requests that were open when their process ended are told, those that the new one got before it was known are not', t => {
	const {selector, clock} = createFilled(t, [first, other]);
	const told: string[] = [];
	const names = ['before', 'after'];
	for (const name of names) {
		const work = send(selector, createQuestion({tried: new Set([otherName])}));
		work.onEnded(() => {
			told.push(`${name} ${selector.choose(createQuestion({tried: new Set([oldName])}))?.endpoint.id ?? 'none'}`);
		});
		clock.advance(againMs);
	}

	const elsewhere = send(selector, createQuestion({tried: new Set([oldName])}));
	elsewhere.onEnded(() => {
		told.push('elsewhere');
	});
	selector.applyLoadUpdate('n2', {loads: [[otherName, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	selector.setIncarnation(again);
	t.same(told, ['before i-1']);
	selector.removeEndpoint('i-2');
	t.same(told, ['before i-1'], 'a process that leaves goes on for a while');
	t.end();
});

test('an endpoint of which the process before was tried may be tried', t => {
	const {selector} = createFilled(t, [first]);
	const question = createQuestion({tried: new Set([oldName])});
	t.equal(selector.choose(question), undefined);
	selector.setIncarnation(again);
	t.equal(selector.choose(question)?.endpoint.born, againMs);
	t.end();
});

test('the same incarnation keeps all, whatever else changes in its entry', t => {
	const {selector} = createFilled(t, [first]);
	send(selector, createQuestion());
	const before = selector.choose(createQuestion());
	selector.addEndpoint({...first, state: 'draining'});
	selector.addEndpoint({...first, address: 'i-1:81'});
	selector.setIncarnation(first);
	t.match(selector.choose(createQuestion()), {heldTokens: 2800, costMs: before?.costMs ?? -1});
	t.equal(getOwn(selector, oldName)?.open, 1);
	t.end();
});
