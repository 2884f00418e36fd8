/*
Load: endpoints fail or slow down before 72 nodes with about two requests a second each, which hear of each other 50 to 500 ms late;
ten hear nothing. Each load is played against the decisions of each node alone, with the same requests.
*/
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {playPool, type PoolLoad} from './play-pool.ts';
import {
	addLoads,
	createSelector,
	formatIncarnation,
	noLoad,
	removeLoad,
	type EjectionNotice,
	type SelectorOptions,
} from '@valvesaddle/selection';

const options: SelectorOptions = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const criteria = {
	pool: 'plain', objectiveMs: 150, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried: new Set<string>(),
};
const seeds = [1, 2, 3];
const load: Omit<PoolLoad, 'seed'> = {
	lengthMs: 8000,
	nodes: 72,
	cutNodes: 10,
	endpoints: 3,
	slots: 6,
	queue: 24,
	perSecond: 140,
	clump: 3,
	unsafeShare: 0.3,
	objectiveMs: 150,
	timeoutMs: 1000,
	getServiceMs: (endpoint, at) => (at + (endpoint * 1333)) % 4000 < 600 ? 75 : 30,
	getFailingShare: () => 0,
};
const failingLoad: Omit<PoolLoad, 'seed'> = {
	...load, endpoints: 6, perSecond: 200, getServiceMs: () => 30,
};

function playSeeds(played: Omit<PoolLoad, 'seed'>, changed: Partial<SelectorOptions>) {
	const reports = seeds.map(seed => playPool({...played, seed}, changed));
	const count = (key: keyof typeof reports[number]): number => reports.reduce((sum, report) => sum + report[key], 0);
	return {
		requests: count('requests'), notInTime: count('requests') - count('inTime'), failed: count('failed'), shed: count('shed'), ejections: count('ejections'),
	};
}

test('two of six endpoints fail all requests for four seconds', t => {
	const played = {...failingLoad, getFailingShare: (endpoint: number, at: number) => endpoint < 2 && at >= 2000 && at < 6000 ? 1 : 0};
	const before = playSeeds(played, {});
	const after = playSeeds(played, {isEvidenceShared: true});
	t.comment(before, after);
	t.ok(after.failed < 0.5 * before.failed, 'callers that fail');
	t.ok(after.ejections >= 2 * seeds.length * (load.nodes - load.cutNodes) * 0.5, 'nodes that hear of each other agree');
	t.end();
});

test('all endpoints fail 45 in 100 requests for four seconds: none is ejected by nodes that hear of it', t => {
	const played = {...failingLoad, getFailingShare: (_endpoint: number, at: number) => at >= 2000 && at < 6000 ? 0.45 : 0};
	const before = playSeeds(played, {});
	const after = playSeeds(played, {isEvidenceShared: true});
	t.comment(before, after);
	t.ok(after.failed <= 1.05 * before.failed, 'no more callers fail');
	t.ok(after.ejections <= 0.02 * seeds.length * load.nodes * load.endpoints, 'hardly any ejection by chance');
	t.end();
});

for (const [name, change] of Object.entries({
	'three endpoints that slow down in turn': {},
	'three endpoints near their limit': {perSecond: 400},
	'requests in large clumps': {clump: 12},
	'a large pool near its limit': {endpoints: 12, perSecond: 1400, lengthMs: 4000},
})) {
	test(`${name}: fewer requests are late or turned away than with the fewest open requests`, t => {
		const before = playSeeds({...load, ...change}, {});
		const after = playSeeds({...load, ...change}, {isPlainPaced: true});
		t.comment(before, after);
		t.ok(after.notInTime < 0.8 * before.notInTime, 'late or failed');
		t.ok(after.shed <= before.shed, 'turned away');
		t.end();
	});
}

function createNode(t: Test, change: Partial<SelectorOptions>) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const notices: EjectionNotice[] = [];
	const selector = createSelector({
		...options, ...change, onEjection(notice) {
			notices.push(notice);
		},
	});
	selector.setPools([{name: 'plain', engine: undefined}]);
	for (const id of ['p-1', 'p-2']) {
		selector.addEndpoint({
			id, pool: 'plain', address: id, dataCentre: 'a', slots: 6, state: 'ready',
		});
	}

	return {
		clock, selector, notices, apply(node: string, answers: number, failures: number, endpoint = 'p-1') {
			selector.applyLoadUpdate(node, {
				loads: [[endpoint, {
					...noLoad, evidence: {
						answers, failures, timedAnswers: 0, serviceMs: 0,
					},
				}]], placements: [],
			});
		},
	};
}

function choose(selector: ReturnType<typeof createNode>['selector'], isRepeatable = true): ReadonlySet<string | undefined> {
	return new Set(Array.from({length: 40}, () => selector.choose({...criteria, isRepeatable})?.endpoint.id));
}

test('an endpoint that others find failing is ejected, probed by requests that may be repeated, and returned', t => {
	const {clock, selector, notices, apply} = createNode(t, {isEvidenceShared: true, isPlainPaced: true, fleet: {self: 'n1', list: () => ['n1']}});
	apply('n2', 2, 2);
	t.ok(choose(selector).has('p-1'), 'two failures are too few');
	clock.advance(20);
	apply('n3', 2, 2);
	apply('n4', 9, 0, 'p-2');
	t.same(choose(selector), new Set(['p-2']));
	t.match(notices, [{
		endpoint: 'p-1', pool: 'plain', reason: 'failing', answers: 4, failures: 4,
	}]);
	clock.advance(1500);
	apply('n2', 0, 0);
	apply('n3', 0, 0);
	t.same(choose(selector, false), new Set(['p-2']), 'a request that cannot be repeated does not probe');
	t.ok(choose(selector).has('p-1'));
	selector.applyLoadUpdate('n2', {loads: [['p-1', {...noLoad, open: 1}]], placements: []});
	t.same(choose(selector), new Set(['p-2']), 'one probe at a time');
	clock.advance(20);
	apply('n2', 2, 0);
	t.ok(choose(selector, false).has('p-1'), 'two answers return it');
	t.equal(notices.at(-1)?.reason, 'returned');
	t.end();
});

test('a node whose turn it is not does not probe, and evidence of a lost peer or of an earlier process does not count', t => {
	const {clock, selector, notices, apply} = createNode(t, {isEvidenceShared: true, fleet: {self: 'n1', list: () => ['n2']}});
	apply('n2', 6, 6);
	selector.removeNode('n2');
	t.ok(choose(selector).has('p-1'));
	clock.advance(20);
	const restarted = {
		id: 'p-1', pool: 'plain', address: 'p-1', dataCentre: 'a', slots: 6, state: 'ready' as const, born: 7,
	};
	selector.setIncarnation(restarted);
	apply('n3', 6, 6);
	t.ok(choose(selector).has('p-1'));
	t.same(notices, []);
	clock.advance(20);
	apply('n3', 6, 6, 'p-2');
	apply('n4', 9, 0, formatIncarnation(restarted));
	t.same(choose(selector), new Set(['p-1']));
	clock.advance(1500);
	apply('n3', 0, 0, 'p-2');
	t.same(choose(selector), new Set(['p-1']), 'probed by n2 alone');
	t.end();
});

test('with the settings off nothing is told and what is told changes nothing', t => {
	const {selector, notices, apply} = createNode(t, {});
	apply('n2', 50, 50);
	t.ok(choose(selector).has('p-1'));
	const selection = selector.choose(criteria);
	selector.open(selection!, criteria).close('erred');
	t.notOk(selector.takeLoadUpdate()?.loads.some(([, row]) => row.evidence !== undefined));
	t.notOk(selector.isPoolFailing('plain'));
	t.same(notices, []);
	t.end();
});

test('own evidence is told, ages without further requests, and ends', t => {
	const {clock, selector} = createNode(t, {isEvidenceShared: true});
	const selection = selector.choose(criteria);
	selector.open(selection!, criteria).close('erred');
	const told: unknown[] = [];
	for (let step = 0; step < 8; step++) {
		told.push(selector.takeLoadUpdate()?.loads[0]?.[1].evidence?.failures);
		clock.advance(300);
	}

	t.same(told, [1, 0.6, 0.36, undefined, undefined, undefined, undefined, undefined]);
	t.end();
});

test('evidence adds up over nodes, and a part is taken out again', t => {
	const evidence = {
		answers: 4, failures: 1, timedAnswers: 3, serviceMs: 90,
	};
	const sum = addLoads({...noLoad, evidence}, {...noLoad, evidence});
	t.same(sum.evidence, {
		answers: 8, failures: 2, timedAnswers: 6, serviceMs: 180,
	});
	t.same(removeLoad(sum, {...noLoad, evidence}).evidence, evidence);
	t.notOk('evidence' in addLoads(noLoad, noLoad));
	t.end();
});

test('requests that a crash breaks off are no evidence that the endpoint fails', t => {
	const {selector} = createNode(t, {isEvidenceShared: true});
	const selection = selector.choose(criteria);
	const requests = Array.from({length: 9}, () => selector.open(selection!, criteria));
	for (const [index, request] of requests.entries()) {
		request.close(index % 2 === 0 ? 'failed' : 'gone');
	}

	t.notOk(selector.takeLoadUpdate()?.loads.some(([, told]) => told.evidence !== undefined));
	t.end();
});
