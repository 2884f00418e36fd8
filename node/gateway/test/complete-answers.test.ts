// Guards against requests that a node has read whole and that end without a complete answer or a refusal, though their endpoint works on.
import {once} from 'node:events';
import {Agent, request as sendRaw, type IncomingMessage} from 'node:http';
import {test, type Test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createRandom} from '@valvesaddle/random';
import {startPlatform} from './start-platform.ts';

type Platform = Awaited<ReturnType<typeof startPlatform>>;
type Random = () => number;

/**
A request by its route and the answer of its endpoints.
*/
type Planned = {
	readonly route: 'safe' | 'unsafe' | 'stream' | 'resumable';
	readonly behaviour: keyof typeof behaviours;
	readonly hasBody: boolean;
	/**
	Whether its caller reads nothing of the answer until everything else has happened.
	*/
	readonly isReadLate: boolean;
};

type Call = Planned & {
	/**
	Its first line has it.
	*/
	readonly path: string;
	/**
	What the caller got; `undefined` while the answer lasts.
	*/
	readonly read: () => string | undefined;
};

const routes = ['safe', 'unsafe', 'stream', 'resumable'] as const;
const plainBehaviours = ['whole', 'large', 'late', 'notRun'] as const;
const streamBehaviours = ['pausingStream', 'largeStream', 'stream'] as const;
const changes = ['reload', 'configure', 'release', 'remove', 'drain'] as const;
/**
Less than the endpoints' slots.
*/
const requestCount = 7;
const seeds = 8;
const bodyBytes = 3_000_000;
const noRetries = {ratio: 0.1, slack: 0, windowS: 10};
/**
Enough for one retry of one request, and no more in the window.
*/
const oneRetry = {ratio: 1.3, slack: 0, windowS: 10};
/**
Time after which a node has given up whatever it gives up on a pause, in milliseconds.
*/
const longEnoughMs = 1200;
const expectedEvents = {stream: 4, pausingStream: 4, largeStream: 120} as const;

function pick<Item>(items: readonly [Item, ...Item[]], random: Random): Item {
	return items[Math.floor(random() * items.length)] ?? items[0];
}

function planRequest(random: Random): Planned {
	const route = pick(routes, random);
	const isStream = route === 'stream' || route === 'resumable';
	return {
		route, behaviour: pick(isStream ? streamBehaviours : plainBehaviours, random), hasBody: !isStream && random() < 0.3, isReadLate: random() < 0.5,
	};
}

/**
Reads the answer, and tells what is wrong with it; empty for a whole answer or a refusal.
*/
async function readAnswer(response: IncomingMessage, {behaviour}: Planned): Promise<string> {
	let text = '';
	response.setEncoding('latin1');
	try {
		for await (const piece of response) {
			text += String(piece);
		}
	} catch (error) {
		return `status ${response.statusCode}, cut after ${text.length} characters: ${String(error)}`;
	}

	const ids = text.matchAll(/^id: (?<id>\d+)$/gmv).map(({groups}) => Number(groups?.id)).toArray();
	const events = Object.entries(expectedEvents).find(([name]) => name === behaviour)?.[1] ?? 0;
	const isInOrder = ids.length === events && ids.every((id, index) => id === index);
	return response.statusCode === 503 || (isInOrder && response.statusCode === 200) ? '' : `status ${response.statusCode}, events ${ids.join(' ')}: ${text.slice(0, 200)}`;
}

type Caller = {
	readonly platform: Platform;
	readonly agent: Agent;
	/**
	When answers that are read late are read.
	*/
	readonly resumed: Promise<void>;
};

function sendRequest({platform, agent, resumed}: Caller, planned: Planned, number: number): Call {
	const [host, port] = platform.addresses.callers.split(':', 2);
	const {route, behaviour, hasBody, isReadLate} = planned;
	const path = `/${route}/${behaviour}?${number}`;
	const raw = sendRaw({
		host, port, agent, path, method: hasBody ? 'POST' : 'GET', headers: {host: 'permits.example', authorization: 'Bearer key', 'x-attempt-id': `a${number}`},
	});
	let result: string | undefined;

	async function readLater(): Promise<void> {
		try {
			const [response] = await once(raw, 'response') as [IncomingMessage];
			await (isReadLate ? resumed : undefined);
			result = await readAnswer(response, planned);
		} catch (error) {
			result = `no answer: ${String(error)}`;
		}
	}

	void readLater();
	raw.end(hasBody ? 'x'.repeat(bodyBytes) : undefined);
	return {...planned, path, read: () => result};
}

/**
Opens a platform whose endpoints answer as the path says, with routes on which a node soon asks whether to try elsewhere.
*/
async function openPlatform(t: Test, retry?: Parameters<typeof startPlatform>[3]): Promise<Platform> {
	const platform = await startPlatform(t, ['whole'], '', retry);
	await platform.open();
	for (const endpoint of platform.endpoints) {
		endpoint.setBehaviour((arrived, socket, resumed) => {
			const behaviour = /\/(?<name>\w+)\?/v.exec(arrived.line)?.groups?.name ?? 'whole';
			void behaviours[behaviour as keyof typeof behaviours](arrived, socket, resumed);
		});
		endpoint.holdBodies();
	}

	await publishVersion(platform, 2, {'target-latency-ms': 100}, {'max-body-bytes': bodyBytes});
	await waitUntil(async () => (await platform.call('/second/x')).text.includes('ERR_VALVESADDLE_NO_ENDPOINT'));
	return platform;
}

async function publishVersion({store, configuration}: Platform, version: number, ofRoutes: Readonly<Record<string, number>>, limits: Readonly<Record<string, number>>): Promise<void> {
	const [first] = configuration.routes;
	const added = {...first, prefix: '/second/', service: 'nobody'};
	store.publish({
		...configuration, version, routes: [...configuration.routes, added].map(route => ({...route, ...ofRoutes})), limits,
	});
}

/**
What happens while the requests are open; `drain` gives the end of it.
*/
const apply = {
	reload({gateway, settings}) {
		gateway.reload(settings);
	},
	async configure(platform) {
		await publishVersion(platform, 3, {'timeout-ms': 50}, {'idle-timeout-ms': 100, 'header-timeout-ms': 100, 'max-body-bytes': 10});
	},
	release({store, endpoints}) {
		store.registerEndpoint('i-0', {
			pool: 'register', address: endpoints[0]?.address ?? '', slots: 4, state: 'draining',
		});
	},
	remove({store}) {
		store.remove('servers/i-1');
	},
	async drain({gateway}) {
		await gateway.drain();
	},
} as const satisfies Record<typeof changes[number], (platform: Platform) => void | Promise<void>>;

function hasReached({endpoints}: Platform, {path}: Call): boolean {
	const lines = endpoints.flatMap(endpoint => [...endpoint.arrived().map(({line}) => line), ...endpoint.heldBodies()]);
	return lines.some(line => line.includes(`${path} `));
}

/**
Plays a seed; tells of each request that got neither a whole answer nor a refusal.
*/
async function playSeed(t: Test, seed: number, retry?: Parameters<typeof startPlatform>[3]): Promise<readonly string[]> {
	const random = createRandom(seed);
	const platform = await openPlatform(t, retry);
	const agent = new Agent({keepAlive: true});
	const resumed = Promise.withResolvers<void>();
	const calls = Array.from({length: requestCount}, (_value, number) => sendRequest({platform, agent, resumed: resumed.promise}, planRequest(random), number));
	await waitUntil(() => calls.every(call => call.read() !== undefined || hasReached(platform, call)));
	const applied = changes.filter(() => random() < 0.6).map(change => ({change, rank: random()})).toSorted((a, b) => a.rank - b.rank).map(({change}) => change);
	const applying = Promise.all(applied.map(async change => apply[change](platform)));
	const until = performance.now() + longEnoughMs;
	await waitUntil(() => performance.now() > until);
	for (const endpoint of platform.endpoints) {
		endpoint.resume();
	}

	resumed.resolve();
	await waitUntil(() => calls.every(call => call.read() !== undefined));
	await applying;
	agent.destroy();
	return calls
		.filter(call => call.read() !== '')
		.map(({path, hasBody, isReadLate, read}) => `seed ${seed}, ${path}${hasBody ? ', body' : ''}${isReadLate ? ', read late' : ''}, amid ${applied.join(' ')}: ${read()}`);
}

for (const [name, retry] of [['plenty of retries', undefined], ['no retries left', noRetries]] as const) {
	test(`a request that was read whole gets a complete answer or a refusal, with ${name}`, async t => {
		const lost = await Promise.all(Array.from({length: seeds}, async (_value, seed) => playSeed(t, seed + 1, retry)));
		t.same(lost.flat(), []);
	});
}

test('a request that waits at a sound endpoint does not fail because the one that it is moved to refuses it', async t => {
	const platform = await openPlatform(t, oneRetry);
	const nextBehaviours: Array<'late' | 'notRun'> = ['late', 'notRun'];
	for (const endpoint of platform.endpoints) {
		endpoint.setBehaviour((arrived, socket, resumed) => {
			void behaviours[nextBehaviours.shift() ?? 'notRun'](arrived, socket, resumed);
		});
	}

	const answer = platform.call('/safe/x');
	const until = performance.now() + longEnoughMs;
	await waitUntil(() => nextBehaviours.length === 0 || performance.now() > until);
	for (const endpoint of platform.endpoints) {
		endpoint.resume();
	}

	const {status, text} = await answer;
	t.ok(status === 200 || status === 503, `${status} ${text}`);
});
