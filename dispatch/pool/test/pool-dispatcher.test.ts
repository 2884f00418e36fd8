import {Clock} from 'clock-mock';
import {test} from 'tap';
import type {AcquireReply, AcquireRequest, ReleaseReport} from '@valvesaddle/messages';
import {createMetrics} from '@valvesaddle/metrics';
import type {Configuration, RequestClass} from '@valvesaddle/types';
import {createPoolDispatcher, type PoolDispatcher} from '@valvesaddle/pool';

const classDefaults: RequestClass = {
	name: 'estimate', priority: 2, urgent: false, firstTokenTargetMs: 10_000, maximumWaitMs: 10_000, weight: 1, floor: 0.1,
};

function createConfiguration(endpoints: number, initialLimit: number): Configuration {
	return {
		classes: [
			{
				...classDefaults, name: 'gate', priority: 0, urgent: true, maximumWaitMs: 2000, floor: 0,
			},
			{...classDefaults, name: 'route', priority: 1},
			classDefaults,
		],
		accounts: ['sawmill', 'depot'].map(name => ({
			name, keyHashes: [], weight: 1, maximumOpen: 0,
		})),
		pools: [{
			name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
		}],
		endpoints: Array.from({length: endpoints}, (_, index) => ({
			id: `e${index + 1}`, pool: 'drafting', url: `http://127.0.0.1:${index + 1}`, dataCentre: 'dc-1', initialLimit, leaving: false,
		})),
		bindings: [],
	};
}

function createDispatcher(configuration: Configuration, warmupMs = 0): PoolDispatcher {
	return createPoolDispatcher({
		pool: 'drafting', configuration, leaving: new Set(), warmupMs, grantLeaseMs: 5000, metrics: createMetrics(),
	});
}

function createRequest(requestId: string, part: Partial<AcquireRequest> = {}): AcquireRequest {
	return {
		requestId, duty: 'drafting', account: 'sawmill', className: 'estimate', node: 'n1', dataCentre: 'dc-1', waitedMs: 0, ranMs: 0, admitted: false, promptTokens: 10, tokensSoFar: 0,
		session: undefined, repeatable: true, avoid: [], skipped: [], forced: false, trace: {}, ...part,
	};
}

function toRelease(reply: AcquireReply | undefined, part: Partial<ReleaseReport> = {}): ReleaseReport {
	return {
		grantId: reply?.kind === 'granted' ? reply.grant.grantId : '', duty: 'drafting', outcome: 'complete', tokens: 100, firstTokenMs: 100, interTokenMs: 20, ...part,
	};
}

/**
Sends requests and collects the replies by request id.
*/
function createCaller(dispatcher: PoolDispatcher) {
	const replies = new Map<string, AcquireReply>();
	return {
		replies,
		async acquire(request: AcquireRequest) {
			void dispatcher.acquire(request).then(reply => replies.set(request.requestId, reply));
			await settle();
		},
		granted: () => [...replies].filter(([, {kind}]) => kind === 'granted').map(([id]) => id),
	};
}

async function settle(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		// eslint-disable-next-line no-await-in-loop -- lets promises settle
		await Promise.resolve();
	}
}

test('a pool with free slots grants immediately', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 2));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('a'));
	t.same(caller.granted(), ['a']);
});

test('urgent requests are granted in a pool that is full of other requests', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 2));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('lower-1'));
	await caller.acquire(createRequest('lower-2'));
	await caller.acquire(createRequest('lower-3'));
	await caller.acquire(createRequest('gate-1', {className: 'gate'}));
	t.same(caller.granted(), ['lower-1', 'lower-2', 'gate-1']);
});

test('while urgent requests wait, other requests are granted only under their floor', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	for (let index = 0; index < 30; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(`gate-${index}`, {className: 'gate', admitted: true}));
	}

	await caller.acquire(createRequest('estimate-1', {admitted: true}));
	await caller.acquire(createRequest('estimate-2', {admitted: true}));
	const order: string[] = [];
	for (let turn = 0; turn < 28; turn++) {
		const granted = caller.granted().filter(id => !order.includes(id));
		order.push(...granted);
		for (const id of granted) {
			dispatcher.release(toRelease(caller.replies.get(id)));
		}

		// eslint-disable-next-line no-await-in-loop -- in order
		await settle();
	}

	const firstEstimate = order.findIndex(id => id.startsWith('estimate'));
	t.ok(firstEstimate >= 9, `a floor of 0.1 gives one grant in ten, not earlier (${firstEstimate})`);
	t.ok(firstEstimate <= 12, `and not much later (${firstEstimate})`);
});

test('a request whose predicted wait is too long is refused with a retry delay', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	for (let index = 0; index < 10; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(`r${index}`));
	}

	const last = caller.replies.get('r9');
	t.match(last, {kind: 'refused', code: 'ERR_VALVESADDLE_OVERLOADED'});
	t.ok(last?.kind === 'refused' && last.retryAfterMs >= 1000);
});

test('urgent requests are admitted however many other requests wait', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	for (let index = 0; index < 50; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(`r${index}`, {admitted: true}));
	}

	await caller.acquire(createRequest('gate', {className: 'gate'}));
	t.equal(caller.replies.get('gate')?.kind, 'granted');
});

test('a request is refused exactly when it reaches the maximum wait of its class', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder', {className: 'gate'}));
	await caller.acquire(createRequest('waiter', {className: 'gate', admitted: true}));
	for (let elapsed = 0; elapsed < 1900; elapsed += 100) {
		clock.advance(100);
		dispatcher.progress('n1', [{grantId: toRelease(caller.replies.get('holder')).grantId, tokens: 1, firstTokenMs: 10}]);
		dispatcher.tick();
	}

	await settle();
	t.equal(caller.replies.get('waiter'), undefined);
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.match(caller.replies.get('waiter'), {kind: 'refused', code: 'ERR_VALVESADDLE_WAIT_EXPIRED'});
});

test('a request whose engine broke off waits for the next one as long as its class may, however long it ran', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder', {className: 'gate'}));
	await caller.acquire(createRequest('waiter', {
		className: 'gate', waitedMs: 30_000, ranMs: 29_500, admitted: true, tokensSoFar: 500,
	}));
	clock.advance(1400);
	dispatcher.tick();
	await settle();
	t.equal(caller.replies.get('waiter'), undefined);
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.match(caller.replies.get('waiter'), {kind: 'refused', code: 'ERR_VALVESADDLE_WAIT_EXPIRED'});
});

test('a request that waits for a slot is not refused for a standstill of its dispatcher before releases have been read', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder', {className: 'gate'}));
	await caller.acquire(createRequest('waiter', {className: 'gate', admitted: true}));
	clock.advance(100);
	dispatcher.tick();
	clock.advance(6000);
	dispatcher.tick();
	dispatcher.release(toRelease(caller.replies.get('holder')));
	await settle();
	t.match(caller.replies.get('waiter'), {kind: 'granted'});
	await caller.acquire(createRequest('next', {className: 'gate', admitted: true, waitedMs: 2000}));
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.match(caller.replies.get('next'), {kind: 'refused', code: 'ERR_VALVESADDLE_WAIT_EXPIRED'});
});

const refusal = {
	outcome: 'not-run', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined, retryAfterMs: 3000,
} as const;

function getEndpoint(reply: AcquireReply | undefined): string {
	return reply?.kind === 'granted' ? reply.grant.endpointId : '';
}

test('an endpoint gets no grants during its cooldown', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(2, 8));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('first'));
	const cooling = getEndpoint(caller.replies.get('first'));
	dispatcher.release(toRelease(caller.replies.get('first'), refusal));
	for (const id of ['a', 'b', 'c', 'd']) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(id));
		t.not(getEndpoint(caller.replies.get(id)), cooling);
	}

	const {now} = Date;
	Date.now = () => now() + 3_600_000;
	t.teardown(() => {
		Date.now = now;
	});
	clock.advance(2999);
	dispatcher.tick();
	t.equal(dispatcher.status().endpoints.find(({id}) => id === cooling)?.state, 'cooling', 'also when the wall clock jumps');
	dispatcher.configure(createConfiguration(2, 8), new Set());
	clock.advance(1);
	t.equal(dispatcher.status().endpoints.find(({id}) => id === cooling)?.state, 'cooling');
	dispatcher.tick();
	t.equal(dispatcher.status().endpoints.find(({id}) => id === cooling)?.state, 'live');
});

test('while all endpoints are cooling, requests wait for the end of the cooldown, and urgent ones are granted first', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('first'));
	dispatcher.release(toRelease(caller.replies.get('first'), {...refusal, retryAfterMs: 1500}));
	await caller.acquire(createRequest('estimate'));
	await caller.acquire(createRequest('urgent', {className: 'gate'}));
	t.same(caller.granted(), ['first']);
	clock.advance(1500);
	dispatcher.tick();
	await settle();
	t.ok(caller.granted().includes('urgent'));
	t.notOk(caller.granted().includes('estimate'));
});

test('a request is refused if the cooldown exceeds the maximum wait of its class', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('first'));
	dispatcher.release(toRelease(caller.replies.get('first'), {...refusal, retryAfterMs: 15_000}));
	await caller.acquire(createRequest('estimate'));
	t.match(caller.replies.get('estimate'), {kind: 'refused', retryAfterMs: 5000});
});

test('the time waited at an earlier dispatcher counts towards the order', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder'));
	await caller.acquire(createRequest('fresh', {waitedMs: 0, admitted: true}));
	await caller.acquire(createRequest('moved', {waitedMs: 5000, admitted: true}));
	dispatcher.release(toRelease(caller.replies.get('holder')));
	await settle();
	t.same(caller.granted(), ['holder', 'moved']);
});

test('a grant expires when its node does not renew it', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('lost', {node: 'failed'}));
	await caller.acquire(createRequest('next'));
	clock.advance(4900);
	dispatcher.tick();
	await settle();
	t.same(caller.granted(), ['lost']);
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.same(caller.granted(), ['lost', 'next']);
});

test('progress messages of a node renew its unreported grants, but only for a limited time', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('forgotten'));
	for (let elapsed = 0; elapsed < 99_000; elapsed += 1000) {
		clock.advance(1000);
		dispatcher.progress('n1', []);
		dispatcher.tick();
	}

	t.equal(dispatcher.status().inFlight, 1);
	clock.advance(1000);
	dispatcher.progress('n1', []);
	dispatcher.tick();
	t.equal(dispatcher.status().inFlight, 0);
});

test('registered grants of an earlier dispatcher count towards the limit', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	dispatcher.register({
		duty: 'drafting', node: 'n2', grants: [{
			grantId: 'old', requestId: 'old-request', endpointId: 'e1', account: 'depot', className: 'estimate', tokens: 5,
		}],
	});
	await caller.acquire(createRequest('next'));
	t.same(caller.granted(), []);
	dispatcher.release({...toRelease(undefined), grantId: 'old'});
	await settle();
	t.same(caller.granted(), ['next']);
});

test('a new dispatcher grants only urgent requests during its warm-up', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 4), 500);
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('estimate'));
	await caller.acquire(createRequest('gate', {className: 'gate'}));
	t.same(caller.granted(), ['gate']);
	clock.advance(500);
	dispatcher.tick();
	await settle();
	t.same(caller.granted(), ['gate', 'estimate']);
});

test('a draining endpoint gets no grants', async t => {
	const configuration = createConfiguration(2, 4);
	const sources: ReadonlyArray<readonly [string, (dispatcher: PoolDispatcher) => void]> = [
		['the list of VMs', dispatcher => {
			dispatcher.configure(configuration, new Set(['e1']));
		}],
		['an operator', dispatcher => {
			dispatcher.configure({...configuration, endpoints: configuration.endpoints.map(endpoint => ({...endpoint, leaving: endpoint.id === 'e1'}))}, new Set());
		}],
		['its load report', dispatcher => {
			dispatcher.observeLoad('e1', {requests: 0, leaving: true});
		}],
	];
	for (const [name, markLeaving] of sources) {
		const dispatcher = createDispatcher(configuration);
		const caller = createCaller(dispatcher);
		markLeaving(dispatcher);
		for (let index = 0; index < 4; index++) {
			// eslint-disable-next-line no-await-in-loop -- in order
			await caller.acquire(createRequest(`r${index}`));
		}

		const endpoints = Array.from(caller.replies.values(), reply => reply.kind === 'granted' ? reply.grant.endpointId : reply.kind);
		t.same(endpoints, ['e2', 'e2', 'e2', 'e2'], name);
	}
});

test('the load from a report is counted and decays', async t => {
	const dispatcher = createDispatcher(createConfiguration(2, 4));
	const caller = createCaller(dispatcher);
	dispatcher.observeLoad('e1', {requests: 4, leaving: false});
	await caller.acquire(createRequest('r1'));
	const first = caller.replies.get('r1');
	t.equal(first?.kind === 'granted' && first.grant.endpointId, 'e2');
	for (let turn = 0; turn < 40; turn++) {
		dispatcher.tick();
	}

	t.equal(dispatcher.status().endpoints[0]?.external, 0);
});

test('an endpoint is ejected after three consecutive failures and probed later', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(4, 1));
	const caller = createCaller(dispatcher);
	const states: string[] = [];
	dispatcher.events.on('endpointState', ({data}) => {
		states.push(`${data.endpoint} ${data.to}`);
	});
	for (let turn = 0; turn < 3; turn++) {
		for (let index = 0; index < 4; index++) {
			const id = `r${turn}-${index}`;
			// eslint-disable-next-line no-await-in-loop -- in order
			await caller.acquire(createRequest(id));
			const reply = caller.replies.get(id);
			const isBad = reply?.kind === 'granted' && reply.grant.endpointId === 'e1';
			dispatcher.release(toRelease(reply, isBad
				? {
					outcome: 'failed', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined,
				}
				: {firstTokenMs: 300}));
		}
	}

	t.equal(dispatcher.status().endpoints[0]?.state, 'ejected');
	clock.advance(5000);
	dispatcher.tick();
	t.equal(dispatcher.status().endpoints[0]?.state, 'probing');
});

test('the waiting requests of a lost node are removed', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder'));
	await caller.acquire(createRequest('waiter', {node: 'n9', admitted: true}));
	dispatcher.dropNode('n9');
	t.equal(dispatcher.status().waiting, 0);
});

test('a request whose node is taken for lost is told to ask again, so that it does not wait for ever if its node is not', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder'));
	await caller.acquire(createRequest('waiter', {node: 'n9', admitted: true}));
	dispatcher.dropNode('n9');
	await settle();
	t.same(caller.replies.get('waiter'), {kind: 'moved', owner: undefined, admitted: true});
});

test('a closing dispatcher answers all waiting requests with moved', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder'));
	await caller.acquire(createRequest('waiter', {admitted: true}));
	t.equal(dispatcher.close(), 1);
	await settle();
	t.same(caller.replies.get('waiter'), {kind: 'moved', owner: undefined, admitted: true});
});

test('a repeated acquire replaces the earlier grant of the request', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('same'));
	await caller.acquire(createRequest('same', {admitted: true}));
	t.equal(dispatcher.status().inFlight, 1);
});

test('a cancelled request frees its slot', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('holder'));
	await caller.acquire(createRequest('waiter', {admitted: true}));
	dispatcher.cancel('holder');
	await settle();
	t.same(caller.granted(), ['holder', 'waiter']);
});

function createMemoryConfiguration(memoryTokens: number | undefined): Configuration {
	const configuration = createConfiguration(1, 64);
	return {...configuration, endpoints: configuration.endpoints.map(endpoint => ({...endpoint, memoryTokens}))};
}

async function acquireDigests(caller: ReturnType<typeof createCaller>, count: number): Promise<void> {
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(`digest-${index}`, {promptTokens: 5000, admitted: true}));
	}
}

test('digests wait while the memory of an engine is full; an engine that states none gets one for each slot', async t => {
	const dispatcher = createDispatcher(createMemoryConfiguration(20_000));
	const caller = createCaller(dispatcher);
	const today = createCaller(createDispatcher(createMemoryConfiguration(undefined)));
	await acquireDigests(caller, 6);
	await acquireDigests(today, 6);
	t.equal(today.granted().length, 6, '31,200 tokens with what they are expected to generate');
	t.same(caller.granted(), ['digest-0', 'digest-1', 'digest-2'], 'the fourth would make it 20,800');
	await caller.acquire(createRequest('gate', {className: 'gate', promptTokens: 5000}));
	t.ok(caller.granted().includes('gate'), 'digests yield to urgent requests');
	for (const id of ['gate', 'digest-0']) {
		dispatcher.release(toRelease(caller.replies.get(id)));
	}

	await settle();
	t.ok(caller.granted().includes('digest-3'), 'its turn when one has ended');
	t.notOk(caller.granted().includes('digest-4'));
	dispatcher.configure(createMemoryConfiguration(40_000), new Set());
	await settle();
	t.ok(caller.granted().includes('digest-5'), 'more memory');
});

test('a request that is larger than the memory of an engine is granted when nothing runs there, and other classes keep their floor', async t => {
	const dispatcher = createDispatcher(createMemoryConfiguration(4000));
	const caller = createCaller(dispatcher);
	await acquireDigests(caller, 2);
	t.same(caller.granted(), ['digest-0'], 'only the engine itself can refuse it');
	await caller.acquire(createRequest('route', {className: 'route', promptTokens: 5000, admitted: true}));
	dispatcher.release(toRelease(caller.replies.get('digest-0')));
	await settle();
	t.equal(caller.granted().length, 2);
	dispatcher.release(toRelease(caller.replies.get('digest-1')));
	dispatcher.release(toRelease(caller.replies.get('route')));
	await settle();
	t.equal(caller.granted().length, 3, 'each class is served');
});

test('callers that are refused together come back one after the other', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const caller = createCaller(dispatcher);
	await caller.acquire(createRequest('first'));
	clock.advance(800);
	dispatcher.release(toRelease(caller.replies.get('first'), {...refusal, retryAfterMs: 15_000}));
	const returns: number[] = [];
	for (const id of ['a', 'b', 'c']) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await caller.acquire(createRequest(id));
		const reply = caller.replies.get(id);
		returns.push(reply?.kind === 'refused' ? reply.retryAfterMs : 0);
	}

	t.equal(returns[0], 5000);
	t.ok(returns[1]! > returns[0]! && returns[2]! > returns[1]!, String(returns));
});
