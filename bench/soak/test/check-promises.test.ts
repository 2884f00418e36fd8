import {test} from 'tap';
import {checkPromises, type Observation} from '@valvesaddle/bench-soak';

type Attempt = Observation['attempts'][number];

function createAttempt(change: Partial<Attempt> = {}): Attempt {
	return {
		id: 'c1-1', path: '/unsafe/x', kind: 'unsafe', node: 'n0', pid: 7, sentAt: 1000, endedAt: 1100, status: 200, isWhole: true, body: 'for c1-1\n', length: 9, error: '', ...change,
	};
}

const plentifulRetries = {
	ratio: 1, slack: 1000, assumedNodes: 3, windowS: 1,
};

function check(change: Partial<Observation>): readonly string[] {
	const observation: Observation = {
		attempts: [], runs: [], read: new Set(), arrivals: [], notices: [], crashes: [], limits: [], departures: [], retry: plentifulRetries, faults: [], versions: [], drains: [], calmFrom: 100_000, ...change,
	};
	return checkPromises(observation).map(({promise}) => promise);
}

const run = {
	id: 'c1-1', endpoint: 'e1', at: 1010, isSpoiled: false,
};
const stop = {
	kind: 'stop', at: 1050, until: 2000, target: 0,
} as const;

function formatEvents(ids: readonly number[]): string {
	return ids.map(id => `id: ${id}\ndata: for c1-1\n\n`).join('');
}

const notice = {
	id: 'c1-1', endpoint: 'e1', at: 1000, retryAfterMs: 2000, isLeaving: false,
};
const leaving = {...notice, retryAfterMs: 0, isLeaving: true};

function createArrivals(times: readonly number[]) {
	return times.map(at => ({id: 'c1-1', endpoint: 'e1', at}));
}

const limitNotice = {
	id: 'c1-1', endpoint: 'e1', at: 1000, perSecond: 1,
};

/**
Three crashes, and further arrivals of the same request.
*/
function createCrashes(times: readonly number[]): Partial<Observation> {
	return {
		crashes: [100, 200, 300].map((at, index) => ({path: '/unsafe/crash', endpoint: `e${index}`, at})),
		attempts: times.map(at => createAttempt({
			id: `crash-${at}`, path: '/unsafe/crash', sentAt: at, endedAt: at, status: 502, body: '',
		})),
		arrivals: times.map(at => ({id: `crash-${at}`, endpoint: 'e9', at})),
	};
}

const kept: ReadonlyArray<readonly [name: string, observation: Partial<Observation>]> = [
	['a whole answer of its own', {attempts: [createAttempt()], runs: [run]}],
	['a request that crashes endpoints until all nodes know, and three times then', createCrashes([400, 1000, 2000, 3000, 4000, 5000, 6000])],
	['a request that crashes endpoints at nodes that were all killed after it', {...createCrashes([4000, 5000, 6000, 7000]), faults: [{...stop, kind: 'killAll'}]}],
	['as many requests as a limit allows, and more from a node that was not told', {
		attempts: [createAttempt(), createAttempt({id: 'c2-1', pid: 8, body: 'for c2-1\n'})],
		limits: [limitNotice, {...limitNotice, at: 9000}],
		arrivals: [...createArrivals([4100, 4200, 4300, 4400, 4500]), ...createArrivals([4600, 4700, 4800, 4900, 5000, 5100, 5200]).map(arrival => ({...arrival, id: 'c2-1'}))],
	}],
	['a refusal of what did not run', {attempts: [createAttempt({status: 503, body: ''})]}],
	['a failure of what may have run', {attempts: [createAttempt({status: 502, body: ''})], runs: [{...run, isSpoiled: true}]}],
	['a second run of what may be repeated', {attempts: [createAttempt({kind: 'safe'})], runs: [run, run]}],
	['an answer that the endpoint broke off at a node that stops', {attempts: [createAttempt({status: 0, isWhole: false})], runs: [{...run, isSpoiled: true}], faults: [stop]}],
	['an old route shortly after its version was replaced', {attempts: [createAttempt({path: '/v1/x', kind: 'safe', sentAt: 6000})], runs: [run], versions: [{version: 1, at: 0}, {version: 2, at: 5000}]}],
	['new work at a leaving endpoint shortly after it said so', {runs: [{...run, at: 2000}], drains: [{endpoint: 'e1', at: 1000}]}],
	['two requests within a pause, and more shortly after it was asked for', {attempts: [createAttempt()], notices: [notice], arrivals: createArrivals([1100, 1200, 1300, 2000, 2900])}],
	['requests of another process within a pause', {attempts: [createAttempt(), createAttempt({id: 'c2-1', pid: 8, body: 'for c2-1\n'})], notices: [notice], arrivals: createArrivals([2000, 2100, 2900]).map(arrival => ({...arrival, id: 'c2-1'}))}],
	['requests within a pause of a process that stood still', {
		attempts: [createAttempt()], notices: [notice], arrivals: createArrivals([2000, 2100, 2900]), faults: [{...stop, kind: 'pause'}],
	}],
	['a request shortly after an endpoint said that it leaves', {attempts: [createAttempt({sentAt: 2900})], notices: [leaving], arrivals: createArrivals([3100])}],
	['an answer that its endpoint broke off', {attempts: [createAttempt({isWhole: false})], runs: [{...run, isSpoiled: true}], read: new Set(['c1-1'])}],
	['an answer that ended with its deadline', {attempts: [createAttempt({status: 0, isWhole: false, endedAt: 6000})], runs: [run], read: new Set(['c1-1'])}],
	['an answer that ended as its node was killed', {
		attempts: [createAttempt({status: 0, isWhole: false})], runs: [run], read: new Set(['c1-1']), faults: [{...stop, kind: 'kill'}],
	}],
	['an answer that ended after the grace time of its node', {
		attempts: [createAttempt({
			status: 200, isWhole: false, sentAt: 4000, endedAt: 8500,
		})],
		read: new Set(['c1-1']),
		faults: [stop],
	}],
	['a request that no node read', {attempts: [createAttempt({status: 0, isWhole: false})]}],
	['a failure of what an endpoint broke off', {attempts: [createAttempt({status: 502, body: ''})], runs: [{...run, isSpoiled: true}]}],
	['a failure while an endpoint sent what nobody asked for', {attempts: [createAttempt({status: 502, body: ''})], runs: [run], faults: [{...stop, kind: 'spoil'}]}],
	['a stream that broke off between events', {attempts: [createAttempt({kind: 'stream', isWhole: false, body: formatEvents([0, 1])})], runs: [{...run, isSpoiled: true}]}],
];

test('what the promises allow is no breach', t => {
	for (const [name, observation] of kept) {
		t.same(check(observation), [], name);
	}

	t.end();
});

const broken: ReadonlyArray<readonly [promise: string, observation: Partial<Observation>]> = [
	['each caller gets its own whole answer', {attempts: [createAttempt({body: 'for c9-9\n'})], runs: [run]}],
	['a stream has no gap and no event twice', {attempts: [createAttempt({kind: 'stream', body: formatEvents([0, 1, 3]), isWhole: false})], runs: [run]}],
	['a stream has no gap and no event twice', {attempts: [createAttempt({kind: 'resumable', body: formatEvents([0, 1])})], runs: [run]}],
	['non-repeatable work runs at most once', {attempts: [createAttempt()], runs: [run, {...run, endpoint: 'e2'}]}],
	['"not run" means not run', {attempts: [createAttempt({status: 503})], runs: [run]}],
	['a leaving endpoint gets no new work', {runs: [{...run, at: 9000}], drains: [{endpoint: 'e1', at: 1000}]}],
	['an endpoint that asked for a pause gets at most two requests in it', {attempts: [createAttempt()], notices: [notice], arrivals: createArrivals([2000, 2100, 2900])}],
	['an endpoint that says that it leaves gets no further requests', {attempts: [createAttempt({sentAt: 3100})], notices: [leaving], arrivals: createArrivals([3110])}],
	['a request that crashed three endpoints reaches no more than three others', createCrashes([4000, 5000, 6000, 7000])],
	['an endpoint that names a limit gets no more requests than it allows', {attempts: [createAttempt()], limits: [limitNotice, {...limitNotice, at: 9000}], arrivals: createArrivals([4100, 4200, 4300, 4400, 4500, 4600, 4700, 4800, 4900, 5000, 5100, 5200])}],
	['an accepted configuration is in force in seconds', {
		attempts: [createAttempt({
			path: '/v2/x', kind: 'safe', sentAt: 20_000, endedAt: 20_010, status: 404,
		})], versions: [{version: 1, at: 0}, {version: 2, at: 5000}],
	}],
	['an accepted configuration is in force in seconds', {
		attempts: [createAttempt({
			path: '/v1/x', kind: 'safe', sentAt: 20_000, endedAt: 20_010,
		})], runs: [run], versions: [{version: 1, at: 0}, {version: 2, at: 5000}],
	}],
	['a configuration never goes back to an older one', {
		attempts: [createAttempt({
			path: '/v2/x', kind: 'safe', sentAt: 5100, endedAt: 5200,
		}), createAttempt({
			path: '/v1/x', kind: 'safe', sentAt: 5300, endedAt: 5400,
		})],
		versions: [{version: 1, at: 0}, {version: 2, at: 5000}],
	}],
	['a graceful shutdown cuts off nothing', {attempts: [createAttempt({status: 0, isWhole: false, body: ''})], runs: [run], faults: [stop]}],
	['a request that was read whole gets a complete answer or a refusal', {attempts: [createAttempt({status: 0, isWhole: false})], read: new Set(['c1-1'])}],
	['a request that was read whole gets a complete answer or a refusal', {attempts: [createAttempt({isWhole: false})], runs: [run]}],
	['a request that was read whole gets a complete answer or a refusal', {
		attempts: [createAttempt({isWhole: false})], runs: [run], faults: [{...stop, kind: 'kill', target: 1}, {...stop, kind: 'kill', at: 5000}, {...stop, kind: 'pause'}, {...stop, kind: 'reload'}],
	}],
	['a request is not failed while its endpoint works on it', {attempts: [createAttempt({status: 502, body: ''})], runs: [run]}],
	['every kind of request is served once faults are over', {attempts: [createAttempt({sentAt: 200_000, status: 502})]}],
];

test('every promise that is broken is seen', t => {
	for (const [promise, observation] of broken) {
		t.ok(check(observation).includes(promise), promise);
	}

	t.end();
});

test('retries beyond the budget of a window are seen', t => {
	const attempts = Array.from({length: 10}, (_value, index) => createAttempt({id: `a${index}`, sentAt: index * 10}));
	const arrive = (retries: number): Partial<Observation> => ({
		attempts,
		retry: {...plentifulRetries, ratio: 0.2, slack: 2},
		arrivals: attempts.flatMap(({id, sentAt}, index) => [{id, endpoint: 'e1', at: sentAt}, ...(index < retries ? [{id, endpoint: 'e2', at: sentAt + 200}] : [])]),
	});
	const promise = 'retries stay within the budget of the fleet';
	t.notOk(check(arrive(4)).includes(promise), 'two of ten requests, and two');
	t.ok(check(arrive(5)).includes(promise));
	t.end();
});

test('requests that reach an endpoint long after their callers have left are seen', t => {
	const departures = Array.from({length: 4}, (_value, index) => ({
		id: `a${index}`, node: 'n0', sentAt: 0, at: 100,
	}));
	const arrive = (at: number): Partial<Observation> => ({departures, arrivals: departures.map(({id}) => ({id, endpoint: 'e1', at}))});
	const promise = 'a request whose caller has left reaches no endpoint half a second later';
	t.notOk(check(arrive(600)).includes(promise));
	t.ok(check(arrive(601)).includes(promise));
	t.notOk(check({
		...arrive(601), faults: [{
			kind: 'pause', target: 0, at: 0, until: 500,
		}],
	}).includes(promise), 'its node stood still');
	t.end();
});
