import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createSelector, type SelectionCriteria, type Selector} from '@valvesaddle/selection';

const options = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const stream: SelectionCriteria = {
	pool: 'engines', objectiveMs: 600, pauseObjectiveMs: 150, urgency: 0, promptTokens: 500, parts: [{id: 'own', tokens: 500}], tried: new Set(),
};
const draft: SelectionCriteria = {
	...stream, pauseObjectiveMs: 600, urgency: 6, promptTokens: 9000,
};

type Change = {
	readonly reservedShare?: number;
	readonly onReserved?: (pool: string, reserved: number, streams: number) => void;
};

function enterClock(t: Test): Clock {
	const clock = new Clock();
	t.teardown(clock.enter());
	return clock;
}

function createWithEndpoints(count: number, change: Change = {}): Selector {
	const selector = createSelector({...options, reservedShare: 0.4, ...change});
	selector.setPools([{name: 'engines', engine: {slots: 16, cacheTokens: 300_000}}]);
	selector.setPauseObjectives(new Map([['engines', 150]]));
	for (let index = 0; index < count; index++) {
		selector.addEndpoint({
			id: `i-${index}`, pool: 'engines', address: `i-${index}:80`, dataCentre: 'a', slots: 16, state: 'ready',
		});
	}

	return selector;
}

function openMany(selector: Selector, criteria: SelectionCriteria, count: number): ReadonlyArray<{readonly id: string; readonly close: () => void}> {
	return Array.from({length: count}, () => {
		const selection = selector.choose(criteria)!;
		const request = selector.open(selection, criteria);
		return {
			id: selection.endpoint.id,
			close() {
				request.close('done');
			},
		};
	});
}

function listIds(requests: ReturnType<typeof openMany>): ReadonlySet<string> {
	return new Set(requests.map(({id}) => id));
}

test('streams with the shortest pause objective get endpoints without long prompts', t => {
	const clock = enterClock(t);
	const selector = createWithEndpoints(20);
	openMany(selector, stream, 20);
	clock.advance(300);
	const streams = listIds(openMany(selector, stream, 15));
	const drafts = listIds(openMany(selector, draft, 80));
	t.same([...streams].filter(id => drafts.has(id)), []);
	t.ok(streams.size <= 4, `${streams.size} endpoints`);
	t.ok(drafts.size >= 12, `${drafts.size} endpoints`);
	t.end();
});

test('nodes that hear of the same streams reserve the same endpoints', t => {
	const clock = enterClock(t);
	const [selector, other] = [createWithEndpoints(20), createWithEndpoints(20)];
	openMany(selector, stream, 20);
	other.applyLoadUpdate('n-1', selector.takeLoadUpdate()!);
	clock.advance(300);
	const streams = listIds(openMany(selector, stream, 10));
	t.same([...listIds(openMany(other, draft, 60))].filter(id => streams.has(id)), []);
	t.end();
});

test('endpoints stay reserved for some seconds after a peak, and are given back', t => {
	const planned: number[] = [];
	const clock = enterClock(t);
	const selector = createWithEndpoints(20, {
		onReserved(_pool, reserved) {
			planned.push(reserved);
		},
	});
	const streams = openMany(selector, stream, 40);
	clock.advance(300);
	selector.choose(draft);
	for (const {close} of streams) {
		close();
	}

	clock.advance(1000);
	selector.choose(draft);
	t.ok(planned.at(-1)! >= 3, `${planned.at(-1)} after 1 s`);
	clock.advance(30_000);
	selector.choose(draft);
	clock.advance(300);
	selector.choose(draft);
	t.ok(planned.at(-1)! <= 1, `${planned.at(-1)} after 30 s`);
	t.end();
});

test('a draft that can wait does not take a reserved endpoint while there are others', t => {
	const clock = enterClock(t);
	const selector = createWithEndpoints(20);
	openMany(selector, stream, 20);
	clock.advance(300);
	const reserved = listIds(openMany(selector, stream, 10));
	const tried = new Set(Array.from({length: 20}, (_value, index) => `i-${index}`).filter(id => !reserved.has(id)));
	t.ok(reserved.has(selector.choose({...draft, tried})?.endpoint.id ?? ''));
	t.equal(selector.choose({...draft, tried, roomWithinMs: 100}), undefined);
	t.end();
});

test('streams and drafts are never without an endpoint', t => {
	const clock = enterClock(t);
	const selector = createWithEndpoints(12, {reservedShare: 0.8});
	openMany(selector, stream, 400);
	clock.advance(300);
	t.ok(selector.choose(stream));
	t.ok(selector.choose(draft));
	for (let index = 1; index < 12; index++) {
		selector.removeEndpoint(`i-${index}`);
	}

	t.equal(selector.choose(draft)?.endpoint.id, 'i-0');
	t.equal(selector.choose(stream)?.endpoint.id, 'i-0');
	t.end();
});

test('without the setting, in a small pool or without a pause objective, no endpoint is reserved', t => {
	const clock = enterClock(t);
	const without = createWithEndpoints(20);
	without.setPauseObjectives(new Map());
	for (const [selector, count] of [[createWithEndpoints(20, {reservedShare: 0}), 20], [createWithEndpoints(11), 11], [without, 20]] as const) {
		const plain = createWithEndpoints(count, {reservedShare: 0});
		for (const one of [selector, plain]) {
			openMany(one, stream, 20);
		}

		clock.advance(300);
		const criteria = [stream, draft, draft, draft];
		t.same(
			criteria.map(one => openMany(selector, one, 15).map(({id}) => id)),
			criteria.map(one => openMany(plain, one, 15).map(({id}) => id)),
		);
	}

	t.end();
});
