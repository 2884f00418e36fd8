import {Buffer} from 'node:buffer';
import type {Test} from 'tap';
import {
	behaviours,
	startFakeEndpoint,
	type ArrivedRequest,
	type EndpointBehaviour,
} from '@valvesaddle/fake-endpoint';
import {findFreeAddress} from '@valvesaddle/fake-http';
import {startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {parseGatewaySettings} from '@valvesaddle/settings';
import {Agent, request} from 'undici';
import {createGateway, type Gateway} from '@valvesaddle/gateway';

const route = {
	host: 'permits.example', 'timeout-ms': 60_000, 'target-latency-ms': 50_000, priority: 1, service: 'register', 'max-attempts': 2, public: false,
};

/**
Configuration with a route of each kind.
*/
const configuration = {
	version: 1,
	routes: [
		{
			...route, name: 'safe', prefix: '/safe/', kind: 'safe',
		},
		{
			...route, name: 'unsafe', prefix: '/unsafe/', kind: 'unsafe',
		},
		{
			...route, name: 'stream', prefix: '/stream/', kind: 'streaming',
		},
		{
			...route, name: 'resumable', prefix: '/resumable/', kind: 'streaming', 'stream-resume': true,
		},
		{
			...route, name: 'short', prefix: '/short/', kind: 'unsafe', 'timeout-ms': 50,
		},
		{
			...route, name: 'empty', prefix: '/empty/', kind: 'safe', service: 'nobody',
		},
	],
	services: [{name: 'register'}, {name: 'nobody'}],
	limits: {'max-header-bytes': 2000, 'max-body-bytes': 1000},
	tenants: [{name: 'sawmill', 'api-keys': ['key']}],
};

/**
Loopback address at which nodes listen for each other.
*/
const peerHost = '127.0.0.3';

/**
Drain settings, unless the test has its own.
*/
const drainSettings = `
	[drain]
	grace_s = 60
	balancer_ms = 1
`;

type RetrySettings = {
	readonly ratio: number;
	readonly slack: number;
	readonly windowS: number;
};

/**
The slack is free one window after the start, so the window is short.
*/
const plentifulRetries: RetrySettings = {ratio: 0.1, slack: 1000, windowS: 0.001};

/**
 Starts a gateway with a fake store and two fake endpoints. The requests that arrive at either endpoint are answered by the given
 behaviours in order; the last one repeats.

 @example
 const platform = await startPlatform(t, ['reset', 'whole']);
 const answer = await platform.call('/safe/x');
 */
export async function startPlatform(t: Test, sequence: ReadonlyArray<keyof typeof behaviours> = ['whole'], moreSettings = '', retry: RetrySettings = plentifulRetries) {
	const store = await startFakeFleetStore();
	const endpoints = [await startFakeEndpoint(), await startFakeEndpoint()];
	const arrived: ArrivedRequest[] = [];
	const answerInOrder: EndpointBehaviour = (arrivedRequest, socket, resumed) => {
		const behaviour = sequence[Math.min(arrived.length, sequence.length - 1)] ?? 'whole';
		arrived.push(arrivedRequest);
		void behaviours[behaviour](arrivedRequest, socket, resumed);
	};

	const formatSettings = (name: string, peers: string) => `
			[node]
			name = "${name}"
			data_centre = "a"
			region = "r"
			[listen]
			callers = "127.0.0.1:0"
			ready = "127.0.0.1:0"
			peers = "${peers}"
			[store]
			address = "${store.address}"
			timeout_ms = 10000
			retry_ms = 5
			gather_ms = 1
			[retry]
			ratio = ${retry.ratio}
			slack = ${retry.slack}
			window_s = ${retry.windowS}
			[limits]
			connect_ms = 10000
			${moreSettings.includes('[drain]') ? '' : drainSettings}
			[observe]
			log_level = "silent"
			${moreSettings}
		`;
	const agent = new Agent();
	const nodes: Gateway[] = [];
	t.teardown(async () => {
		await agent.destroy();
		await Promise.all(nodes.map(async node => node.close()));
		await Promise.all(endpoints.map(async endpoint => endpoint.close()));
		await store.close();
	});

	/**
	Starts a node of the fleet. Ends with the test.
	*/
	async function startNode(name: string) {
		const settings = parseGatewaySettings(formatSettings(name, await findFreeAddress(peerHost)))._unsafeUnwrap();
		const gateway = createGateway({settings});
		nodes.push(gateway);
		const addresses = await gateway.start();

		async function isReady(): Promise<boolean> {
			const {statusCode, body} = await request(`http://${addresses.ready}/valvesaddle/ready`, {dispatcher: agent});
			await body.dump();
			return statusCode === 200;
		}

		/**
		Calls the gateway with a client account's key; the text of an answer that breaks off ends with `(broken)`.
		*/
		async function call(path: string, {key = 'key', body, headers = {}, signal}: CallOptions = {}) {
			const response = await request(`http://${addresses.callers}${path}`, {
				method: body === undefined ? 'GET' : 'POST',
				headers: {
					host: 'permits.example', authorization: `Bearer ${key}`, 'x-attempt-id': 'a1', ...headers,
				},
				body: body ?? null,
				dispatcher: agent,
				...(signal !== undefined && {signal}),
			});
			let text = '';
			try {
				for await (const chunk of response.body) {
					text += String(Buffer.from(chunk as Uint8Array));
				}
			} catch {
				text += '(broken)';
			}

			return {status: response.statusCode, headers: response.headers, text};
		}

		return {
			settings, gateway, addresses, isReady, call,
		};
	}

	const node = await startNode('n1');

	async function open(): Promise<void> {
		for (const [index, endpoint] of endpoints.entries()) {
			endpoint.setBehaviour(answerInOrder);
			store.registerEndpoint(`i-${index}`, {
				pool: 'register', address: endpoint.address, slots: 4, state: 'ready',
			});
		}

		store.publish(configuration);
		await waitUntil(node.isReady);
	}

	return {
		...node, store, endpoints, arrived, configuration, startNode, open,
	};
}

type CallOptions = {
	readonly key?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
};
