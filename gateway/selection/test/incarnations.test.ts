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
const restartedMs = 60_000;

const first: ServingEndpoint = {
	id: 'i-1', pool: 'engines', address: 'i-1:80', dataCentre: 'a', slots: 64, state: 'ready', born: bornMs,
};
const restarted: ServingEndpoint = {...first, born: restartedMs};
const other: ServingEndpoint = {...first, id: 'i-2', address: 'i-2:80'};
const oldId = formatIncarnation(first);
const newId = formatIncarnation(restarted);
const otherId = formatIncarnation(other);

function createCriteria(change: Partial<SelectionCriteria> = {}): SelectionCriteria {
	return {
		pool: 'engines', objectiveMs: 250, pauseObjectiveMs: 200, urgency: 0, promptTokens: 3000, parts: [{id: 'subject', tokens: 2800}, {id: 'own', tokens: 200}], tried: new Set(), ...change,
	};
}

function createWithEndpoints(t: Test, endpoints: readonly ServingEndpoint[]): {readonly selector: Selector; readonly clock: Clock} {
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

function send(selector: Selector, criteria: SelectionCriteria) {
	const selection = selector.choose(criteria);
	if (selection === undefined) {
		throw new TypeError('no endpoint');
	}

	return selector.open(selection, criteria);
}

function getOwn(selector: Selector, name: string) {
	return selector.listOwn().loads.find(([endpoint]) => endpoint === name)?.[1];
}

test('IDs of incarnations differ by endpoint ID and start time, and without a start time the endpoint ID is used', t => {
	t.equal(new Set([oldId, newId, otherId, formatIncarnation({id: 'i-1'})]).size, 4);
	t.equal(formatIncarnation({id: 'i-1'}), 'i-1');
	t.end();
});

test('state of the previous process does not apply to the one that starts again under its ID', t => {
	const {selector, clock} = createWithEndpoints(t, [first, other]);
	const fresh = createCriteria({tried: new Set([oldId, newId])});
	const same = createCriteria({tried: new Set([otherId])});
	const stream = send(selector, same);
	clock.advance(60);
	stream.markChunk();
	const waiting = send(selector, {...same, parts: [{id: 'else', tokens: 2800}, {id: 'own', tokens: 200}]});
	selector.applyLoadUpdate('n2', {loads: [[oldId, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	t.ok((selector.choose(same)?.costMs ?? 0) > 1000);
	t.ok((selector.choose(same)?.harmMs ?? 0) > 0);
	t.equal(selector.choose(same)?.heldTokens, 2800);
	waiting.close('gone');
	selector.setIncarnation(restarted);
	const {costMs, readMs, harmMs, heldTokens} = selector.choose(fresh) ?? {};
	t.match(selector.choose(same), {
		endpoint: restarted, costMs, readMs, harmMs, heldTokens,
	});
	t.same(selector.listOwn(), {loads: [], placements: []});
	t.equal(selector.takeLoadUpdate(), undefined);
	t.end();
});

test('an ejected endpoint is chosen again after its process has started again', t => {
	const {selector} = createWithEndpoints(t, [first, other]);
	const criteria = createCriteria({tried: new Set([otherId])});
	send(selector, criteria).close('gone');
	t.equal(selector.choose(createCriteria())?.endpoint.id, 'i-2');
	selector.setIncarnation(restarted);
	selector.applyLoadUpdate('n2', {loads: [[otherId, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	t.equal(selector.choose(createCriteria())?.endpoint.id, 'i-1');
	t.end();
});

test('late reports of requests to the previous process are ignored', t => {
	for (const end of ['done', 'failed', 'gone', 'rejected', 'cancelled'] as const) {
		const {selector, clock} = createWithEndpoints(t, [first]);
		const late = send(selector, createCriteria());
		selector.setIncarnation(restarted);
		const current = send(selector, createCriteria());
		const before = getOwn(selector, newId);
		clock.advance(80);
		late.markChunk();
		late.markPaused();
		late.close(end);
		t.same(getOwn(selector, newId), before);
		t.equal(getOwn(selector, oldId), undefined);
		t.equal(selector.choose(createCriteria())?.endpoint.id, 'i-1');
		current.close('done');
		t.equal(getOwn(selector, newId)?.open, 0);
	}

	t.end();
});

test('requests of an endpoint that was removed and added again with the same incarnation are ignored too', t => {
	const {selector} = createWithEndpoints(t, [first]);
	const late = send(selector, createCriteria());
	selector.removeEndpoint('i-1');
	selector.addEndpoint(first);
	send(selector, createCriteria());
	late.close('done');
	t.equal(getOwn(selector, oldId)?.open, 1);
	t.end();
});

test('load updates about the previous process are dropped, those about a new one apply before it is known', t => {
	const {selector} = createWithEndpoints(t, [first]);
	const load = {...noLoad, open: 9};
	selector.applyLoadUpdate('n2', {loads: [[newId, load]], placements: []});
	selector.setIncarnation(restarted);
	const placement = {
		endpoint: oldId, pool: 'engines', parts: ['subject'], tokens: 2800,
	};
	t.same(selector.applyLoadUpdate('n3', {loads: [[oldId, load], [newId, load]], placements: [placement]}), {loads: [[newId, load]], placements: []});
	const selection = selector.choose(createCriteria());
	t.equal(selection?.heldTokens, 0);
	const busy = createWithEndpoints(t, [restarted]).selector;
	busy.applyLoadUpdate('n2', {loads: [[newId, {...load, open: 18}]], placements: []});
	t.equal(selection?.costMs, busy.choose(createCriteria())?.costMs);
	t.end();
});

test('requests that were open when their process ended are notified, those sent to the new one before it was known are not', t => {
	const {selector, clock} = createWithEndpoints(t, [first, other]);
	const notified: string[] = [];
	const names = ['before', 'after'];
	for (const name of names) {
		const request = send(selector, createCriteria({tried: new Set([otherId])}));
		request.onEnded(() => {
			notified.push(`${name} ${selector.choose(createCriteria({tried: new Set([oldId])}))?.endpoint.id ?? 'none'}`);
		});
		clock.advance(restartedMs);
	}

	const elsewhere = send(selector, createCriteria({tried: new Set([oldId])}));
	elsewhere.onEnded(() => {
		notified.push('elsewhere');
	});
	selector.applyLoadUpdate('n2', {loads: [[otherId, {...noLoad, open: 9, pendingPrefill: [50_000]}]], placements: []});
	selector.setIncarnation(restarted);
	t.same(notified, ['before i-1']);
	selector.removeEndpoint('i-2');
	t.same(notified, ['before i-1'], 'a process that drains may still finish its requests');
	t.end();
});

test('a request that was sent to the new process is not notified after the time of day has jumped back', t => {
	const {selector, clock} = createWithEndpoints(t, [first, other]);
	clock.advance(restartedMs);
	const {now} = Date;
	t.teardown(() => {
		Date.now = now;
	});
	Date.now = () => now() - restartedMs;
	let notified = 0;
	send(selector, createCriteria({tried: new Set([otherId])})).onEnded(() => {
		notified++;
	});
	selector.setIncarnation(restarted);
	t.equal(notified, 0);
	t.end();
});

test('an endpoint may be chosen if only its previous process was tried', t => {
	const {selector} = createWithEndpoints(t, [first]);
	const criteria = createCriteria({tried: new Set([oldId])});
	t.equal(selector.choose(criteria), undefined);
	selector.setIncarnation(restarted);
	t.equal(selector.choose(criteria)?.endpoint.born, restartedMs);
	t.end();
});

test('an incarnation keeps its state when other fields of its entry change', t => {
	const {selector} = createWithEndpoints(t, [first]);
	send(selector, createCriteria());
	const before = selector.choose(createCriteria());
	selector.addEndpoint({...first, state: 'draining'});
	selector.addEndpoint({...first, address: 'i-1:81'});
	selector.setIncarnation(first);
	t.match(selector.choose(createCriteria()), {heldTokens: 2800, costMs: before?.costMs ?? -1});
	t.equal(getOwn(selector, oldId)?.open, 1);
	t.end();
});
