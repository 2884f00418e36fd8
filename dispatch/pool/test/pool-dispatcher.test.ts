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
		requestId, duty: 'drafting', account: 'sawmill', className: 'estimate', node: 'n1', dataCentre: 'dc-1', waitedMs: 0, admitted: false, promptTokens: 10, tokensSoFar: 0,
		session: undefined, repeatable: true, avoid: [], skipped: [], forced: false, trace: {}, ...part,
	};
}

function toRelease(reply: AcquireReply | undefined, part: Partial<ReleaseReport> = {}): ReleaseReport {
	return {
		grantId: reply?.kind === 'granted' ? reply.grant.grantId : '', duty: 'drafting', outcome: 'complete', tokens: 100, firstTokenMs: 100, interTokenMs: 20, ...part,
	};
}

/**
Collects replies by request id as they come.
*/
function createInbox(dispatcher: PoolDispatcher) {
	const replies = new Map<string, AcquireReply>();
	return {
		replies,
		async ask(request: AcquireRequest) {
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

test('a free pool grants at once', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 2));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('a'));
	t.same(inbox.granted(), ['a']);
});

test('urgent work goes to a full pool beyond the slots that lower work holds', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 2));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('lower-1'));
	await inbox.ask(createRequest('lower-2'));
	await inbox.ask(createRequest('lower-3'));
	await inbox.ask(createRequest('gate-1', {className: 'gate'}));
	t.same(inbox.granted(), ['lower-1', 'lower-2', 'gate-1']);
});

test('while urgent work waits no lower request is granted past it, except under the floor', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	for (let index = 0; index < 30; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await inbox.ask(createRequest(`gate-${index}`, {className: 'gate', admitted: true}));
	}

	await inbox.ask(createRequest('estimate-1', {admitted: true}));
	await inbox.ask(createRequest('estimate-2', {admitted: true}));
	const order: string[] = [];
	for (let turn = 0; turn < 28; turn++) {
		const granted = inbox.granted().filter(id => !order.includes(id));
		order.push(...granted);
		for (const id of granted) {
			dispatcher.release(toRelease(inbox.replies.get(id)));
		}

		// eslint-disable-next-line no-await-in-loop -- in order
		await settle();
	}

	const firstEstimate = order.findIndex(id => id.startsWith('estimate'));
	t.ok(firstEstimate >= 9, `the floor of a tenth gives one grant in ten, not earlier (${firstEstimate})`);
	t.ok(firstEstimate <= 12, `and not much later (${firstEstimate})`);
});

test('a request whose predicted wait is too long is refused at once with when to come back', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	for (let index = 0; index < 10; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await inbox.ask(createRequest(`r${index}`));
	}

	const last = inbox.replies.get('r9');
	t.match(last, {kind: 'refused', code: 'ERR_VALVESADDLE_OVERLOADED'});
	t.ok(last?.kind === 'refused' && last.retryAfterMs >= 1000);
});

test('urgent work is admitted however much lower work waits', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	for (let index = 0; index < 50; index++) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await inbox.ask(createRequest(`r${index}`, {admitted: true}));
	}

	await inbox.ask(createRequest('gate', {className: 'gate'}));
	t.equal(inbox.replies.get('gate')?.kind, 'granted');
});

test('a request that waits too long gets its final answer then and not later', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('holder', {className: 'gate'}));
	await inbox.ask(createRequest('waiter', {className: 'gate', admitted: true}));
	for (let elapsed = 0; elapsed < 1900; elapsed += 100) {
		clock.advance(100);
		dispatcher.progress('n1', [{grantId: toRelease(inbox.replies.get('holder')).grantId, tokens: 1, firstTokenMs: 10}]);
		dispatcher.tick();
	}

	await settle();
	t.equal(inbox.replies.get('waiter'), undefined);
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.match(inbox.replies.get('waiter'), {kind: 'refused', code: 'ERR_VALVESADDLE_WAIT_EXPIRED'});
});

const refusal = {
	outcome: 'not-run', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined, retryAfterMs: 3000,
} as const;

function getEndpoint(reply: AcquireReply | undefined): string {
	return reply?.kind === 'granted' ? reply.grant.endpointId : '';
}

test('an endpoint that asked for a pause is granted to nobody until it is over', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(2, 8));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('first'));
	const paused = getEndpoint(inbox.replies.get('first'));
	dispatcher.release(toRelease(inbox.replies.get('first'), refusal));
	for (const id of ['a', 'b', 'c', 'd']) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await inbox.ask(createRequest(id));
		t.not(getEndpoint(inbox.replies.get(id)), paused);
	}

	const {now} = Date;
	Date.now = () => now() + 3_600_000;
	t.teardown(() => {
		Date.now = now;
	});
	clock.advance(2999);
	dispatcher.tick();
	t.equal(dispatcher.status().endpoints.find(({id}) => id === paused)?.state, 'cooling', 'also when the time of day jumps');
	dispatcher.configure(createConfiguration(2, 8), new Set());
	clock.advance(1);
	t.equal(dispatcher.status().endpoints.find(({id}) => id === paused)?.state, 'cooling');
	dispatcher.tick();
	t.equal(dispatcher.status().endpoints.find(({id}) => id === paused)?.state, 'live');
});

test('while all endpoints have asked for a pause requests wait for its end, and urgent ones come first', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('first'));
	dispatcher.release(toRelease(inbox.replies.get('first'), {...refusal, retryAfterMs: 1500}));
	await inbox.ask(createRequest('estimate'));
	await inbox.ask(createRequest('urgent', {className: 'gate'}));
	t.same(inbox.granted(), ['first']);
	clock.advance(1500);
	dispatcher.tick();
	await settle();
	t.ok(inbox.granted().includes('urgent'));
	t.notOk(inbox.granted().includes('estimate'));
});

test('a pause that outlasts the longest wait of a class is told to its callers', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('first'));
	dispatcher.release(toRelease(inbox.replies.get('first'), {...refusal, retryAfterMs: 15_000}));
	await inbox.ask(createRequest('estimate'));
	t.match(inbox.replies.get('estimate'), {kind: 'refused', retryAfterMs: 5000});
});

test('the time waited at an earlier dispatcher counts', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('holder'));
	await inbox.ask(createRequest('fresh', {waitedMs: 0, admitted: true}));
	await inbox.ask(createRequest('moved', {waitedMs: 5000, admitted: true}));
	dispatcher.release(toRelease(inbox.replies.get('holder')));
	await settle();
	t.same(inbox.granted(), ['holder', 'moved']);
});

test('a grant that its node does not renew is taken back', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('lost', {node: 'dead'}));
	await inbox.ask(createRequest('next'));
	clock.advance(4900);
	dispatcher.tick();
	await settle();
	t.same(inbox.granted(), ['lost']);
	clock.advance(100);
	dispatcher.tick();
	await settle();
	t.same(inbox.granted(), ['lost', 'next']);
});

test('a node that is heard keeps the grants that it did not name this time, but not for ever', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('forgotten'));
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

test('registered grants of an earlier dispatcher count against the limit', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	dispatcher.register({
		duty: 'drafting', node: 'n2', grants: [{
			grantId: 'old', requestId: 'old-request', endpointId: 'e1', account: 'depot', className: 'estimate', tokens: 5,
		}],
	});
	await inbox.ask(createRequest('next'));
	t.same(inbox.granted(), []);
	dispatcher.release({...toRelease(undefined), grantId: 'old'});
	await settle();
	t.same(inbox.granted(), ['next']);
});

test('a new dispatcher grants only urgent work until its warm-up is over', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(1, 4), 500);
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('estimate'));
	await inbox.ask(createRequest('gate', {className: 'gate'}));
	t.same(inbox.granted(), ['gate']);
	clock.advance(500);
	dispatcher.tick();
	await settle();
	t.same(inbox.granted(), ['gate', 'estimate']);
});

test('a leaving endpoint gets no grant from the moment that the dispatcher knows', async t => {
	const configuration = createConfiguration(2, 4);
	const sources: ReadonlyArray<readonly [string, (dispatcher: PoolDispatcher) => void]> = [
		['the list of VMs', dispatcher => {
			dispatcher.configure(configuration, new Set(['e1']));
		}],
		['an operator', dispatcher => {
			dispatcher.configure({...configuration, endpoints: configuration.endpoints.map(endpoint => ({...endpoint, leaving: endpoint.id === 'e1'}))}, new Set());
		}],
		['its own word', dispatcher => {
			dispatcher.observeLoad('e1', {requests: 0, leaving: true});
		}],
	];
	for (const [name, tell] of sources) {
		const dispatcher = createDispatcher(configuration);
		const inbox = createInbox(dispatcher);
		tell(dispatcher);
		for (let index = 0; index < 4; index++) {
			// eslint-disable-next-line no-await-in-loop -- in order
			await inbox.ask(createRequest(`r${index}`));
		}

		const endpoints = Array.from(inbox.replies.values(), reply => reply.kind === 'granted' ? reply.grant.endpointId : reply.kind);
		t.same(endpoints, ['e2', 'e2', 'e2', 'e2'], name);
	}
});

test('a late load report corrects the own count and fades', async t => {
	const dispatcher = createDispatcher(createConfiguration(2, 4));
	const inbox = createInbox(dispatcher);
	dispatcher.observeLoad('e1', {requests: 4, leaving: false});
	await inbox.ask(createRequest('r1'));
	const first = inbox.replies.get('r1');
	t.equal(first?.kind === 'granted' && first.grant.endpointId, 'e2');
	for (let turn = 0; turn < 40; turn++) {
		dispatcher.tick();
	}

	t.equal(dispatcher.status().endpoints[0]?.external, 0);
});

test('an endpoint that fails three times in a row is ejected and comes back after a probe', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const dispatcher = createDispatcher(createConfiguration(4, 1));
	const inbox = createInbox(dispatcher);
	const states: string[] = [];
	dispatcher.events.on('endpointState', ({data}) => {
		states.push(`${data.endpoint} ${data.to}`);
	});
	for (let turn = 0; turn < 3; turn++) {
		for (let index = 0; index < 4; index++) {
			const id = `r${turn}-${index}`;
			// eslint-disable-next-line no-await-in-loop -- in order
			await inbox.ask(createRequest(id));
			const reply = inbox.replies.get(id);
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

test('a node that is lost leaves no request behind in the queue', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('holder'));
	await inbox.ask(createRequest('dead', {node: 'n9', admitted: true}));
	dispatcher.dropNode('n9');
	t.equal(dispatcher.status().waiting, 0);
});

test('a dispatcher that closes tells all that wait to ask elsewhere', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('holder'));
	await inbox.ask(createRequest('waiter', {admitted: true}));
	t.equal(dispatcher.close(), 1);
	await settle();
	t.same(inbox.replies.get('waiter'), {kind: 'moved', owner: undefined, admitted: true});
});

test('asking again for the same request takes back what the first asking got', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('same'));
	await inbox.ask(createRequest('same', {admitted: true}));
	t.equal(dispatcher.status().inFlight, 1);
});

test('a request that is taken back frees its slot', async t => {
	const dispatcher = createDispatcher(createConfiguration(1, 1));
	const inbox = createInbox(dispatcher);
	await inbox.ask(createRequest('holder'));
	await inbox.ask(createRequest('waiter', {admitted: true}));
	dispatcher.cancel('holder');
	await settle();
	t.same(inbox.granted(), ['holder', 'waiter']);
});
