import Emittery from 'emittery';
import {
	errAsync,
	ok,
	ResultAsync,
	okAsync,
} from 'neverthrow';
import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import type {DispatchHost} from '@valvesaddle/host';
import {createLogger} from '@valvesaddle/logger';
import type {Membership} from '@valvesaddle/membership';
import {
	acquireRequestSchema,
	type AcquireReply,
	type AcquireRequest,
	type RegisterRequest,
} from '@valvesaddle/messages';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerEvents, PeerNetwork} from '@valvesaddle/network';
import {createDutyIndex} from '@valvesaddle/ownership';
import type {Configuration} from '@valvesaddle/types';
import {createDispatchClient, type AcquireParameters, type DispatchClient} from '@valvesaddle/client';

const unreachable = new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', 'unreachable');
const granted: AcquireReply = {kind: 'granted', grant: {grantId: 'g1', endpointId: 'e1', url: 'http://e1'}};

const configuration: Configuration = {
	classes: [],
	accounts: [],
	pools: ['drafting', 'split'].map(name => ({
		name, kind: 'engine', model: name, region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: name === 'split' ? 2 : 1,
	})),
	endpoints: Array.from({length: 20}, (_, index) => ({
		id: `e${index}`, pool: index % 2 === 0 ? 'split' : 'drafting', url: 'http://e', dataCentre: 'd', initialLimit: 1, leaving: false,
	})),
	bindings: [],
};

type Call = {
	readonly node: string;
	readonly method: string;
	readonly parameters: unknown;
};

type Answer = (request: AcquireRequest) => AcquireReply | 'unreachable' | 'never';

/**
Creates a client of node n1 with the given answers of its peers. The owners are b, c, n1 in rank order.
*/
function createClient(answers: Readonly<Record<string, Answer>>) {
	const calls: Call[] = [];
	const events = new Emittery<PeerEvents>();
	const suspects: string[] = [];
	const network: PeerNetwork = {
		events,
		listen: async () => '',
		call(node, method, parameters) {
			calls.push({node, method, parameters});
			const answer = answers[node]?.(parameters as AcquireRequest) ?? 'unreachable';
			if (answer === 'never') {
				return new ResultAsync(events.once('lost').then(() => ok<unknown, ValvesaddleError>(undefined).andThen(() => errAsync(unreachable) as never)));
			}

			return answer === 'unreachable' ? errAsync(unreachable) : okAsync<unknown, ValvesaddleError>(answer);
		},
		notify(node, method, parameters) {
			calls.push({node, method, parameters});
		},
		broadcast() {
			// Not used.
		},
		isReady: () => true,
		connected: () => [],
		disconnect() {
			// Nothing is open.
		},
		async close() {
			// Nothing is open.
		},
	};
	const host: DispatchHost = {
		acquire: async request => answers.n1?.(request) as AcquireReply,
		cancel() {
			calls.push({node: 'n1', method: 'cancel', parameters: undefined});
		},
		release() {
			calls.push({node: 'n1', method: 'release', parameters: undefined});
		},
		progress() {
			// Not used.
		},
		register(request) {
			calls.push({node: 'n1', method: 'dispatch.register', parameters: request});
		},
		dropNode() {
			// Not used.
		},
		configure() {
			// Not used.
		},
		duties: () => createDutyIndex(configuration),
		findOwner: (_duty, skipped) => ['b', 'c', 'n1'].find(node => !skipped.includes(node)),
		status: () => [],
		close() {
			// Nothing is open.
		},
	};
	const client = createDispatchClient({
		node: 'n1', dataCentre: 'dc-1', host, network, membership: {
			suspect(node: string) {
				suspects.push(node);
			},
		} as unknown as Membership, progressMs: 1_000_000,
		metrics: createMetrics(), logger: createLogger({node: 'n1', level: 'silent'}),
	});
	return {
		client, calls, events, suspects,
	};
}

function createParameters(requestId: string): AcquireParameters {
	return {
		requestId, pool: 'drafting', account: 'sawmill', className: 'gate', arrivedAt: performance.now(), ranMs: 0, resumes: false, promptTokens: 1, tokensSoFar: 0, session: undefined, repeatable: true, avoid: [], trace: {},
	};
}

async function acquire(client: DispatchClient, requestId = 'n1_1', signal = new AbortController().signal): Promise<string> {
	const result = await client.acquire(createParameters(requestId), signal);
	return result.isOk() ? result.value.endpointId : result.error.code;
}

test('the first owner in rank order is called', async t => {
	const {client, calls} = createClient({b: () => granted});
	t.equal(await acquire(client), 'e1');
	t.same(calls.map(({node}) => node), ['b']);
});

test('an unreachable owner is skipped and listed in the call to the next owner', async t => {
	const {client, calls, suspects} = createClient({c: () => granted});
	t.equal(await acquire(client), 'e1');
	t.same(calls.map(({node}) => node), ['b', 'c']);
	t.same((calls[1]?.parameters as AcquireRequest).skipped, ['b']);
	t.same(suspects, ['b']);
});

test('a node that reaches no other node dispatches its own requests', async t => {
	const {client} = createClient({n1: () => granted});
	t.equal(await acquire(client), 'e1');
});

test('redirects are followed, and a redirect loop ends with a forced call', async t => {
	const {client, calls} = createClient({
		b: request => request.forced ? granted : {kind: 'moved', owner: 'c', admitted: false},
		c: request => request.forced ? granted : {kind: 'moved', owner: 'b', admitted: false},
	});
	t.equal(await acquire(client), 'e1');
	t.same(calls.map(({node}) => node), ['b', 'c', 'b', 'c']);
});

test('a queued request stays admitted when the duty moves', async t => {
	const {client, calls} = createClient({
		b: () => ({kind: 'moved', owner: 'c', admitted: true}),
		c: () => granted,
	});
	await acquire(client);
	t.equal((calls[1]?.parameters as AcquireRequest).admitted, true);
});

test('open grants are registered with the next owner before any request is sent to it', async t => {
	let isLost = false;
	const {client, calls} = createClient({b: () => isLost ? 'unreachable' : granted, c: () => ({...granted, grant: {...granted.grant, grantId: 'g2'}})});
	await acquire(client, 'n1_1');
	isLost = true;
	await acquire(client, 'n1_2');
	const atNext = calls.filter(({node}) => node === 'c').map(({method}) => method);
	t.same(atNext, ['dispatch.register', 'dispatch.acquire']);
	const registered = calls.find(({method}) => method === 'dispatch.register')?.parameters as RegisterRequest;
	t.same(registered.grants.map(({grantId}) => grantId), ['g1']);
});

test('when an owner is lost, its grants are immediately registered with the next owner', async t => {
	const {client, calls, events} = createClient({b: () => granted});
	await acquire(client);
	await events.emit('lost', {node: 'b'});
	t.match(calls.at(-1), {node: 'c', method: 'dispatch.register'});
});

test('a request that one dispatcher of a split pool refuses because of overload is sent to another', async t => {
	const refused: AcquireReply = {
		kind: 'refused', code: 'ERR_VALVESADDLE_OVERLOADED', message: 'full', retryAfterMs: 1000,
	};
	const duties = new Set<string>();
	const {client} = createClient({
		b(request) {
			duties.add(request.duty);
			return duties.size === 1 ? refused : granted;
		},
	});
	const result = await client.acquire({...createParameters('n1_1'), pool: 'split'}, new AbortController().signal);
	t.ok(result.isOk());
	t.same([...duties].toSorted(), ['split#0', 'split#1']);
});

test('a request is cancelled when its caller disconnects', async t => {
	const abort = new AbortController();
	const {client, calls, events} = createClient({b: () => 'never', c: () => granted});
	const acquiring = acquire(client, 'n1_1', abort.signal);
	abort.abort();
	t.ok(calls.some(({method}) => method === 'dispatch.cancel'));
	await events.emit('lost', {node: 'b'});
	t.equal(await acquiring, 'ERR_VALVESADDLE_CANCELLED');
});

test('a change of the time of day does not change how long a request has waited', async t => {
	const hourMs = 3_600_000;
	const {now} = Date;
	t.teardown(() => {
		Date.now = now;
	});
	for (const jumpMs of [hourMs, -hourMs]) {
		const {client, calls} = createClient({
			b() {
				Date.now = () => now() + jumpMs;
				return 'unreachable';
			},
			c: () => granted,
		});
		// eslint-disable-next-line no-await-in-loop -- one jump after the other
		await acquire(client);
		const {waitedMs} = acquireRequestSchema.parse(calls[1]?.parameters);
		t.ok(waitedMs >= 0 && waitedMs < hourMs, `${waitedMs} after a jump of ${jumpMs}`);
		Date.now = now;
	}
});
