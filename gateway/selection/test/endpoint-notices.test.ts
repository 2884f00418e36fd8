import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {createSelector, formatIncarnation, type Selector} from '@valvesaddle/selection';

const first: ServingEndpoint = {
	id: 'i-1', pool: 'desk', address: 'i-1:80', dataCentre: 'a', slots: 6, state: 'ready', born: 1000,
};
const second: ServingEndpoint = {...first, id: 'i-2', address: 'i-2:80'};
const criteria = {
	pool: 'desk', objectiveMs: 250, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried: new Set<string>(),
};
const cooldown = {retryAfterMs: 3000, isLeaving: false};

function createPair(t: Test): {readonly selector: Selector; readonly clock: Clock} {
	const clock = new Clock();
	t.teardown(clock.enter());
	const selector = createSelector({
		interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	selector.setPools([{name: 'desk', engine: undefined}]);
	selector.addEndpoint(first);
	selector.addEndpoint(second);
	return {selector, clock};
}

function listChosen(selector: Selector): readonly string[] {
	const ids = Array.from({length: 50}, () => selector.choose(criteria)?.endpoint.id ?? 'none');
	return [...new Set(ids)].toSorted();
}

test('an endpoint is not chosen during its cooldown, even if there is no other', t => {
	const {selector, clock} = createPair(t);
	selector.applyNotice(formatIncarnation(first), cooldown);
	t.same(listChosen(selector), ['i-2']);
	t.equal(selector.getCooldownMs('desk'), 0);
	clock.advance(1000);
	selector.applyNotice(formatIncarnation(second), cooldown);
	t.same(listChosen(selector), ['none']);
	t.equal(selector.getCooldownMs('desk'), 2000);
	clock.advance(1999);
	t.same(listChosen(selector), ['none']);
	clock.advance(1);
	t.same(listChosen(selector), ['i-1']);
	clock.advance(1000);
	t.same(listChosen(selector), ['i-1', 'i-2']);
	t.end();
});

test('a shorter cooldown does not end a longer one, and the length is limited', t => {
	const {selector, clock} = createPair(t);
	selector.applyNotice(formatIncarnation(first), cooldown);
	selector.applyNotice(formatIncarnation(first), {...cooldown, retryAfterMs: 500});
	clock.advance(2999);
	t.same(listChosen(selector), ['i-2']);
	selector.applyNotice(formatIncarnation(first), {...cooldown, retryAfterMs: 1e12});
	clock.advance(300_000);
	t.same(listChosen(selector), ['i-1', 'i-2']);
	t.end();
});

test('a cooldown ends with the process that requested it, and not with its entry', t => {
	const {selector} = createPair(t);
	selector.applyNotice(formatIncarnation(first), cooldown);
	selector.addEndpoint({...first, slots: 7});
	selector.removeEndpoint(first.id);
	selector.addEndpoint(first);
	selector.setPools([{name: 'desk', engine: undefined}]);
	t.same(listChosen(selector), ['i-2']);
	selector.setIncarnation({...first, born: 2000});
	t.same(listChosen(selector), ['i-1', 'i-2']);
	t.end();
});

test('a cooldown does not depend on the system clock', t => {
	const {selector, clock} = createPair(t);
	selector.applyNotice(formatIncarnation(first), cooldown);
	const {now} = Date;
	t.teardown(() => {
		Date.now = now;
	});
	Date.now = () => now() + 3_600_000;
	clock.advance(2000);
	t.same(listChosen(selector), ['i-2']);
	t.end();
});

test('an endpoint that refused a request without a cooldown is skipped for a short time, unless there is no other', t => {
	const {selector, clock} = createPair(t);
	const refuse = (tried: ReadonlySet<string>): void => {
		const selection = selector.choose({...criteria, tried});
		t.ok(selection !== undefined);
		selector.open(selection!, criteria).close('rejected');
	};

	refuse(new Set([formatIncarnation(second)]));
	t.same(listChosen(selector), ['i-2']);
	refuse(new Set([formatIncarnation(first)]));
	t.same(listChosen(selector), ['i-1', 'i-2']);
	clock.advance(400);
	t.same(listChosen(selector), ['i-1', 'i-2']);
	refuse(new Set([formatIncarnation(second)]));
	clock.advance(400);
	t.same(listChosen(selector), ['i-1', 'i-2']);
	t.end();
});

test('a draining endpoint is not chosen again, but a new process under its ID is', t => {
	const {selector} = createPair(t);
	selector.applyNotice(formatIncarnation(first), {retryAfterMs: undefined, isLeaving: true});
	t.notOk(selector.canTake({id: first.id, incarnation: formatIncarnation(first)}));
	selector.addEndpoint({...first, slots: 7});
	selector.removeEndpoint(first.id);
	selector.addEndpoint(first);
	t.same(listChosen(selector), ['i-2']);
	t.equal(selector.getCooldownMs('desk'), 0);
	selector.setIncarnation({...first, born: 2000});
	t.same(listChosen(selector), ['i-1', 'i-2']);
	t.end();
});

test('a chosen endpoint takes no request after it drains, is removed or starts again', t => {
	const chosen = {id: first.id, incarnation: formatIncarnation(first)};
	const changes: ReadonlyArray<(selector: Selector) => void> = [
		selector => {
			selector.addEndpoint({...first, state: 'draining'});
		},
		selector => {
			selector.removeEndpoint(first.id);
		},
		selector => {
			selector.setIncarnation({...first, born: 2000});
		},
	];
	for (const change of changes) {
		const {selector} = createPair(t);
		t.ok(selector.canTake(chosen));
		change(selector);
		t.notOk(selector.canTake(chosen));
	}

	t.end();
});
