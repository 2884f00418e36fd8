import fc from 'fast-check';
import {test} from 'tap';
import type {RequestClass} from '@valvesaddle/types';
import {
	adjustLimit,
	chooseEndpoint,
	addToBudget,
	ejectEndpoint,
	findOutliers,
	hasSlot,
	rankClasses,
	predictWait,
	chooseAccount,
	measureHeadroom,
	takeFromBudget,
	type ClassView,
	type EndpointRequirements,
	type EndpointView,
} from '@valvesaddle/policy';

const baseClass: RequestClass = {
	name: 'estimate', priority: 2, urgent: false, firstTokenTargetMs: 10_000, maximumWaitMs: 10_000, weight: 1, floor: 0.05,
};
const baseEndpoint: EndpointView = {
	id: 'e1', url: 'http://127.0.0.1:1', dataCentre: 'dc-1', state: 'live', limit: 8, inFlight: 0, urgentInFlight: 0, external: 0,
	firstTokenMs: undefined, interTokenMs: undefined, limitChangedAt: 0, ejectedUntil: 0, cooldownUntil: 0, ejections: 0, failures: 0,
};
const baseRequirements: EndpointRequirements = {
	mode: 'shared', floor: 0.05, headroom: 0, promptTokens: 100, dataCentre: 'dc-1', sessionEndpoint: undefined, avoid: [], mayProbe: true,
};
const classView = fc.record({
	requestClass: fc.record({
		name: fc.string({minLength: 1}), priority: fc.nat(9), urgent: fc.boolean(), weight: fc.double({min: 0.1, max: 10, noNaN: true}),
	}).map(part => ({...baseClass, ...part})),
	waiting: fc.nat(5),
	virtualTokens: fc.nat(100_000),
	floorCredit: fc.double({min: 0, max: 2, noNaN: true}),
});
const endpointView = fc.record({
	limit: fc.double({min: 1, max: 64, noNaN: true}), inFlight: fc.nat(80), urgentInFlight: fc.nat(80), external: fc.nat(10),
	interTokenMs: fc.option(fc.double({min: 1, max: 500, noNaN: true}), {nil: undefined}),
	state: fc.constantFrom('live', 'probing', 'ejected', 'leaving'),
}).map((part): EndpointView => ({...baseEndpoint, ...part, urgentInFlight: Math.min(part.urgentInFlight, part.inFlight)}));

test('urgent classes are ranked by priority and before all shared classes', t => {
	fc.assert(fc.property(fc.array(classView, {maxLength: 8}), views => {
		const ranked = rankClasses(views);
		const modes = ranked.map(({mode}) => mode);
		t.same(modes, [...modes.filter(mode => mode === 'floor'), ...modes.filter(mode => mode === 'urgent'), ...modes.filter(mode => mode === 'shared')]);
		const priorities = ranked.filter(({mode}) => mode === 'urgent').map(({className}) => views.find(view => view.requestClass.name === className && view.requestClass.urgent)?.requestClass.priority ?? -1);
		return priorities.length < 2 || new Set(views.map(view => view.requestClass.name)).size < views.length || priorities.every((priority, index) => index === 0 || priority >= (priorities[index - 1] ?? 0));
	}), {numRuns: 200});
	t.end();
});

test('every class with waiting requests is ranked', t => {
	fc.assert(fc.property(fc.array(classView, {maxLength: 8}), views => {
		const named = new Set(rankClasses(views).map(({className}) => className));
		return views.filter(view => view.waiting > 0).every(view => named.has(view.requestClass.name));
	}));
	t.end();
});

test('the shared class with the fewest served tokens for its weight is ranked first', t => {
	const views: readonly ClassView[] = [
		{
			requestClass: {...baseClass, name: 'route'}, waiting: 1, virtualTokens: 900, floorCredit: 0,
		},
		{
			requestClass: {...baseClass, name: 'estimate'}, waiting: 1, virtualTokens: 100, floorCredit: 0,
		},
	];
	t.equal(rankClasses(views)[0]?.className, 'estimate');
	t.end();
});

test('a class whose floor is due is ranked first', t => {
	const views: readonly ClassView[] = [
		{
			requestClass: {
				...baseClass, name: 'gate', urgent: true, priority: 0,
			}, waiting: 5, virtualTokens: 0, floorCredit: 0,
		},
		{
			requestClass: baseClass, waiting: 1, virtualTokens: 0, floorCredit: 1,
		},
	];
	t.same(rankClasses(views)[0], {className: 'estimate', mode: 'floor'});
	t.end();
});

test('shared requests never take a slot away from urgent requests', t => {
	fc.assert(fc.property(endpointView, fc.nat(40), (endpoint, lower) => {
		const urgentOnly = {...endpoint, state: 'live' as const, inFlight: endpoint.urgentInFlight};
		const withLower = {...urgentOnly, inFlight: Math.min(urgentOnly.inFlight + lower, Math.floor(endpoint.limit))};
		const requirements = {...baseRequirements, mode: 'urgent' as const};
		return !hasSlot(urgentOnly, requirements) || hasSlot(withLower, requirements);
	}));
	t.end();
});

test('shared requests never exceed the limit, and no requests exceed twice the limit', t => {
	fc.assert(fc.property(endpointView, fc.constantFrom('urgent', 'shared', 'floor'), (endpoint, mode) => {
		const isTaken = hasSlot({...endpoint, state: 'live'}, {...baseRequirements, mode});
		return !isTaken || (endpoint.inFlight < endpoint.limit * 2 && (mode !== 'shared' || endpoint.inFlight < endpoint.limit));
	}));
	t.end();
});

test('leaving and ejected endpoints are never chosen', t => {
	fc.assert(fc.property(fc.array(endpointView, {maxLength: 10}), fc.constantFrom('urgent', 'shared', 'floor'), (endpoints, mode) => {
		const chosen = chooseEndpoint(endpoints.map((endpoint, index) => ({...endpoint, id: `e${index}`})), {...baseRequirements, mode});
		return chosen === undefined || chosen.state === 'live' || chosen.state === 'probing';
	}));
	t.end();
});

test('an endpoint on which the request failed is avoided even while the others are full', t => {
	const full = {...baseEndpoint, id: 'e2', inFlight: 8};
	t.equal(chooseEndpoint([baseEndpoint, full], {...baseRequirements, avoid: ['e1']}), undefined);
	t.equal(chooseEndpoint([baseEndpoint, {...full, inFlight: 0}], {...baseRequirements, avoid: ['e1']})?.id, 'e2');
	t.end();
});

test('a session stays on the endpoint with its cached prefix unless that one is much busier', t => {
	const requirements = {...baseRequirements, promptTokens: 4000, sessionEndpoint: 'e1'};
	t.equal(chooseEndpoint([{...baseEndpoint, inFlight: 2}, {...baseEndpoint, id: 'e2'}], requirements)?.id, 'e1');
	t.equal(chooseEndpoint([{...baseEndpoint, inFlight: 7}, {...baseEndpoint, id: 'e2'}], {...requirements, promptTokens: 100})?.id, 'e2');
	t.end();
});

test('an endpoint in state probing gets one retryable request at a time', t => {
	const probing = {...baseEndpoint, state: 'probing' as const};
	t.ok(hasSlot(probing, baseRequirements));
	t.notOk(hasSlot({...probing, inFlight: 1}, baseRequirements));
	t.notOk(hasSlot(probing, {...baseRequirements, mayProbe: false}));
	t.end();
});

test('waiting shared requests do not affect the predicted wait of urgent requests', t => {
	fc.assert(fc.property(fc.nat(10_000), fc.nat(50), (sharedWaiting, urgentWaiting) => {
		const gate = {
			...baseClass, name: 'gate', urgent: true, priority: 0,
		};
		const input = {
			requestClass: gate, accountWaiting: 0, accountShares: 1, slots: 10, urgentSlots: 0, freeSlots: 0,
		};
		const predict = (waiting: number): number => predictWait(input, [
			{requestClass: gate, waiting: urgentWaiting, holdMs: 1000},
			{requestClass: baseClass, waiting, holdMs: 10_000},
		]);
		return predict(sharedWaiting) === predict(0);
	}));
	t.end();
});

test('an account with fewer waiting requests has a shorter predicted wait', t => {
	const predict = (accountWaiting: number): number => predictWait({
		requestClass: baseClass, accountWaiting, accountShares: 2, slots: 10, urgentSlots: 0, freeSlots: 0,
	}, [{requestClass: baseClass, waiting: 100, holdMs: 5000}]);
	t.ok(predict(1) < predict(90));
	t.end();
});

test('the predicted wait is infinite for a pool without slots', t => {
	t.equal(predictWait({
		requestClass: baseClass, accountWaiting: 0, accountShares: 1, slots: 0, urgentSlots: 0, freeSlots: 0,
	}, [{requestClass: baseClass, waiting: 0, holdMs: 1}]), Infinity);
	t.end();
});

test('the waiting account with the fewest served tokens for its weight is chosen', t => {
	t.equal(chooseAccount([{account: 'a', waiting: 1, virtualTokens: 9}, {account: 'b', waiting: 1, virtualTokens: 4}, {account: 'c', waiting: 0, virtualTokens: 0}]), 'b');
	t.equal(chooseAccount([]), undefined);
	t.end();
});

test('the limit decreases when tokens are slow and increases only while it is used', t => {
	const now = 10_000;
	t.equal(adjustLimit({...baseEndpoint, interTokenMs: 80}, {interTokenMs: 52, now}).limit, 7.2);
	t.equal(adjustLimit({...baseEndpoint, interTokenMs: 20, inFlight: 8}, {interTokenMs: 52, now}).limit, 9);
	t.equal(adjustLimit({...baseEndpoint, interTokenMs: 20, inFlight: 1}, {interTokenMs: 52, now}).limit, 8);
	t.equal(adjustLimit({...baseEndpoint, interTokenMs: 80, limitChangedAt: now - 1}, {interTokenMs: 52, now}).limit, 8);
	t.end();
});

test('the limit stays between 1 and 1024', t => {
	fc.assert(fc.property(endpointView, fc.nat(1_000_000), (endpoint, now) => {
		const {limit} = adjustLimit(endpoint, {interTokenMs: 52, now});
		return limit >= 1 && limit <= 1024;
	}));
	t.end();
});

test('slow and failing endpoints are found, but never more than three in ten are ejected', t => {
	fc.assert(fc.property(fc.array(endpointView, {maxLength: 30}), endpoints => {
		const named = endpoints.map((endpoint, index) => ({...endpoint, id: `e${index}`}));
		const inUse = named.filter(({state}) => state !== 'leaving');
		const ejected = inUse.filter(({state}) => state === 'ejected').length;
		const found = findOutliers(named);
		return found.length === 0 || ejected + found.length <= inUse.length * 0.3;
	}));
	const peers = Array.from({length: 9}, (_, index) => ({...baseEndpoint, id: `e${index}`, interTokenMs: 20}));
	t.same(findOutliers([...peers, {...baseEndpoint, id: 'slow', interTokenMs: 200}]), ['slow']);
	t.same(findOutliers([...peers, {...baseEndpoint, id: 'failing', failures: 3}]), ['failing']);
	t.end();
});

test('each consecutive ejection lasts longer, up to a minute', t => {
	const first = ejectEndpoint(baseEndpoint, 0);
	t.equal(first.ejectedUntil, 5000);
	t.equal(ejectEndpoint(first, 0).ejectedUntil, 10_000);
	t.equal(ejectEndpoint({...baseEndpoint, ejections: 20}, 0).ejectedUntil, 60_000);
	t.end();
});

test('headroom covers the urgent arrivals, up to a quarter of the slots', t => {
	t.equal(measureHeadroom({
		urgentPerSecond: 0, urgentHoldMs: 1000, urgentInFlight: 0, slots: 40,
	}), 0);
	t.equal(measureHeadroom({
		urgentPerSecond: 4, urgentHoldMs: 1000, urgentInFlight: 0, slots: 60,
	}), 0.1);
	t.equal(measureHeadroom({
		urgentPerSecond: 4, urgentHoldMs: 1000, urgentInFlight: 6, slots: 60,
	}), 0);
	t.equal(measureHeadroom({
		urgentPerSecond: 400, urgentHoldMs: 1000, urgentInFlight: 0, slots: 60,
	}), 0.25);
	t.end();
});

test('retries stay within a tenth of the requests', t => {
	let budget = {balance: 0};
	let retries = 0;
	for (let request = 0; request < 1000; request++) {
		budget = addToBudget(budget);
		const left = takeFromBudget(budget);
		retries += left === undefined ? 0 : 1;
		budget = left ?? budget;
	}

	t.ok(retries <= 100);
	t.ok(retries >= 95);
	t.end();
});
