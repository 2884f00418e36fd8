// Each request that a front passes on gets its whole answer, in whatever order callers send, stand still and read while it drains.
import {Buffer} from 'node:buffer';
import {setImmediate as waitTurn} from 'node:timers/promises';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront, type ForwardedRequest} from './start-front.ts';

const callerCount = 3;
/**
Size of an answer that does not fit into the buffers of the system, in bytes.
*/
const largeBytes = 6 * 1024 * 1024;
const large = Buffer.alloc(largeBytes, 'x');

const actions = ['leave', 'drain', 'pause', 'resume', 'send', 'pipeline', 'begin body', 'end body', 'answer', 'answer at length', 'begin stream'] as const;

type Step = {
	readonly caller: number;
	readonly action: typeof actions[number];
};

const steps = fc.array(fc.record({caller: fc.nat(callerCount - 1), action: fc.constantFrom(...actions)}), {minLength: 5, maxLength: 25});

function createCaller(name: number, {open, forwarded}: Awaited<ReturnType<typeof startFront>>) {
	const {socket, read} = open();
	const answered = new Set<string>();
	const streaming = new Set<string>();
	let sent = 0;
	let isWithinBody = false;

	function format(method: string, headers: readonly string[], body: string): string {
		return formatRequest(method, headers, body).replace('X-Attempt-Id: a1', () => `X-Attempt-Id: ${name}-${sent++}.`);
	}

	function endBody(): void {
		if (!isWithinBody) {
			return;
		}

		socket.write('dy');
		isWithinBody = false;
	}

	function listForwarded(): readonly ForwardedRequest[] {
		return forwarded.filter(({request: {metadata}}) => metadata.requestId?.startsWith(`${name}-`) === true);
	}

	function findUnanswered(): ForwardedRequest | undefined {
		return listForwarded().find(({request: {metadata}}) => !answered.has(metadata.requestId!));
	}

	function answer(filling: Uint8Array): void {
		const next = findUnanswered();
		if (next === undefined) {
			return;
		}

		const id = next.request.metadata.requestId!;
		const body = Buffer.concat([filling, Buffer.from(`answer to ${id}`)]);
		answered.add(id);
		if (streaming.has(id)) {
			next.reply.write(body);
			next.reply.end();
		} else {
			next.reply.answer(200, [], body);
		}
	}

	const handlers: Partial<Record<Step['action'], () => void>> = {
		pause() {
			socket.pause();
		},
		resume() {
			socket.resume();
		},
		send() {
			endBody();
			socket.write(format('GET', [], ''));
		},
		pipeline() {
			endBody();
			socket.write(format('GET', [], '') + format('POST', ['Content-Length: 4'], 'body') + format('GET', [], ''));
		},
		'begin body'() {
			endBody();
			socket.write(format('POST', ['Content-Length: 4'], 'bo'));
			isWithinBody = true;
		},
		'end body': endBody,
		answer() {
			answer(Buffer.alloc(0));
		},
		'answer at length'() {
			answer(large);
		},
		'begin stream'() {
			const next = findUnanswered();
			const id = next?.request.metadata.requestId;
			if (next === undefined || streaming.has(id!)) {
				return;
			}

			streaming.add(id!);
			next.reply.start(200, []);
			next.reply.write(Buffer.from('first'));
		},
	};

	return {
		run(action: Step['action']) {
			handlers[action]?.();
		},
		/**
		Sends and reads what is left, and answers the requests that arrive.
		*/
		async finish() {
			if (!socket.destroyed) {
				endBody();
				socket.resume();
			}

			await waitUntil(() => {
				answer(Buffer.alloc(0));
				return socket.closed;
			});
		},
		listLost: () => listForwarded()
			.map(({request: {metadata}}) => metadata.requestId!)
			.filter(id => !read().includes(`answer to ${id}`)),
	};
}

async function play(t: Test, played: readonly Step[]): Promise<readonly string[]> {
	const started = await startFront(t);
	const callers = Array.from({length: callerCount}, (_, name) => createCaller(name, started));
	const idle = started.open();
	let drained: Promise<void> | undefined;
	for (const {caller, action} of played) {
		if (action === 'leave' || action === 'drain') {
			started.leave();
		}

		if (action === 'drain') {
			drained ??= started.front.drain();
		}

		callers[caller]!.run(action);
		// eslint-disable-next-line no-await-in-loop -- one step after the other
		await waitTurn();
	}

	drained ??= started.front.drain();
	// The front has looked for idle connections before the callers go on.
	await waitUntil(() => idle.socket.closed);
	await Promise.all(callers.map(async ({finish}) => finish()));
	await drained;
	return callers.flatMap(({listLost}) => listLost());
}

test('each request that is passed on gets its whole answer, through a drain', async t => {
	await fc.assert(fc.asyncProperty(steps, async played => {
		t.same(await play(t, played), []);
	}), {numRuns: 40, seed: 1});
});
