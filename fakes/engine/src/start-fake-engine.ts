import type {ServerResponse} from 'node:http';
import {startFakeServer, type FakeRequest} from '@valvesaddle/fake-http';
import type {ChatRequest} from './chat-request.ts';
import type {EngineFault} from './engine-fault.ts';
import type {FakeEngine} from './fake-engine.ts';
import type {FakeEngineOptions} from './fake-engine-options.ts';
import {createToken} from './create-token.ts';
import type {Sequence} from './sequence.ts';

const defaults = {
	host: '127.0.0.1', port: 0, batch: 16, stepMs: 10, stepMsPerRequest: 1, prefillMsPerToken: 0.2, reportLagMs: 0, defaultTokens: 16, cachedPrefixes: 64,
};
const charactersPerToken = 4;
const crashDelayMs = 20;
/**
Time for which a busy engine asks for no more requests, in seconds.
*/
const busyS = 200;

/**
 Starts a stand-in for a model engine: it streams chat completions, batches continuously, slows down with its batch,
 honours priorities, stops when the caller goes, resumes an unfinished answer and reports its load late.

 @example
 const engine = await startFakeEngine({batch: 8, stepMs: 20});
 engine.setSlowness(10);
 */
export async function startFakeEngine(given: FakeEngineOptions = {}): Promise<FakeEngine> {
	const options = {...defaults, ...given};
	const sequences = new Set<Sequence>();
	const prefixes = new Map<string, true>();
	const reports: Array<{readonly at: number; readonly load: number}> = [];
	const counts = {
		requests: 0, tokens: 0, cancelledTokens: 0, resumed: 0, prefixHits: 0, refused: 0,
	};
	let fault: EngineFault | undefined;
	let slowness = 1;
	let isLeaving = false;
	let stepTimer: NodeJS.Timeout | undefined;
	let isStepping = false;

	function pickBatch(): readonly Sequence[] {
		return [...sequences].toSorted((a, b) => a.priority === b.priority ? a.arrivedAt - b.arrivedAt : a.priority - b.priority).slice(0, options.batch);
	}

	function getStepMs(size: number): number {
		return (options.stepMs + (options.stepMsPerRequest * Math.max(0, size - 1))) * slowness;
	}

	function startStep(): void {
		if (isStepping || sequences.size === 0) {
			return;
		}

		isStepping = true;
		const batch = pickBatch();
		const stepMs = getStepMs(batch.length);
		stepTimer = setTimeout(() => {
			isStepping = false;
			if (fault !== 'freeze') {
				for (const sequence of batch) {
					advance(sequence, stepMs);
				}
			}

			startStep();
		}, stepMs);
	}

	function advance(sequence: Sequence, stepMs: number): void {
		if (sequence.prefillMs > stepMs) {
			sequence.prefillMs -= stepMs;
			return;
		}

		if (fault === 'truncate' && sequence.made * 2 >= sequence.wanted) {
			fault = undefined;
			sequences.delete(sequence);
			sequence.response.end();
			return;
		}

		counts.tokens++;
		const content = createToken(sequence.firstToken + sequence.made);
		sequence.made++;
		sequence.response.write(formatChunk({content}));
		if (!(sequence.made >= sequence.wanted)) {
			return;
		}

		sequences.delete(sequence);
		sequence.response.end(`${formatChunk({}, 'stop')}data: [DONE]\n\n`);
	}

	function wasPrefixCached(chat: ChatRequest): boolean {
		const key = JSON.stringify(chat.messages[0]);
		const isHit = prefixes.delete(key);
		prefixes.set(key, true);
		if (prefixes.size > options.cachedPrefixes) {
			const [oldest] = prefixes.keys();
			prefixes.delete(oldest ?? '');
		}

		counts.prefixHits += isHit ? 1 : 0;
		return isHit;
	}

	function startSequence(chat: ChatRequest, response: ServerResponse): void {
		const firstToken = countDelivered(chat);
		counts.requests++;
		counts.resumed += firstToken > 0 ? 1 : 0;
		const prompt = wasPrefixCached(chat) ? 0 : JSON.stringify(chat.messages).length / charactersPerToken;
		const sequence: Sequence = {
			response,
			priority: chat.priority ?? 0,
			arrivedAt: Date.now(),
			firstToken,
			wanted: chat.max_tokens ?? options.defaultTokens,
			made: 0,
			prefillMs: prompt * options.prefillMsPerToken * slowness,
		};
		sequences.add(sequence);
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		response.once('close', () => {
			if (sequences.delete(sequence)) {
				counts.cancelledTokens += sequence.made;
			}
		});
		if (fault === 'garbage') {
			fault = undefined;
			response.write('data: {not json\n\n');
		}

		startStep();
	}

	const refusals: Readonly<Partial<Record<EngineFault, number>>> = {refuse: 503, busy: 503, fail: 500};

	function handleChat(request: FakeRequest, response: ServerResponse): void {
		const status = isLeaving ? 503 : refusals[fault ?? 'freeze'];
		if (status !== undefined) {
			counts.refused++;
			response.statusCode = status;
			if (fault === 'busy') {
				response.setHeader('retry-after', busyS);
			}

			response.end('no');
			return;
		}

		const chat = JSON.parse(request.body) as ChatRequest;
		if (chat.messages.some(({content}) => content === 'reject me')) {
			response.statusCode = 400;
			response.end('the prompt is not allowed');
			return;
		}

		startSequence(chat, response);
	}

	function handleLoad(response: ServerResponse): void {
		const now = Date.now();
		reports.push({at: now, load: sequences.size});
		while (reports.length > 1 && now - (reports[1]?.at ?? now) >= options.reportLagMs) {
			reports.shift();
		}

		response.end(JSON.stringify({server_load: reports[0]?.load ?? 0, leaving: isLeaving}));
	}

	const controls: Readonly<Record<string, (value: string) => void>> = {
		fault(value) {
			fault = value === '' ? undefined : value as EngineFault;
		},
		slowness(value) {
			slowness = Number(value);
		},
		leaving(value) {
			isLeaving = value === 'true';
		},
		crash() {
			// After the reply to this control is out.
			setTimeout(server.cut, crashDelayMs);
		},
	};

	const server = await startFakeServer({
		host: options.host,
		port: options.port,
		handle(request, response) {
			switch (request.path) {
				case '/load': {
					handleLoad(response);

					break;
				}

				case '/v1/chat/completions': {
					handleChat(request, response);

					break;
				}

				case '/counts': {
					response.end(JSON.stringify({...counts, load: sequences.size}));

					break;
				}

				default: {
					controls[request.path.slice('/control/'.length)]?.(request.body);
					response.end();
				}
			}
		},
	});

	return {
		...server,
		setFault(kind) {
			fault = kind;
		},
		setSlowness(factor) {
			slowness = factor;
		},
		setLeaving(value) {
			isLeaving = value;
		},
		crash() {
			server.cut();
		},
		counts: () => ({...counts}),
		load: () => sequences.size,
		async close() {
			clearTimeout(stepTimer);
			await server.close();
		},
	};
}

function countDelivered(chat: ChatRequest): number {
	const last = chat.messages.at(-1);
	return chat.continue_final_message !== true || typeof last?.content !== 'string' ? 0 : last.content.split(' ').length - 1;
}

function formatChunk(delta: Readonly<Record<string, string>>, finishReason?: string): string {
	return `data: ${JSON.stringify({object: 'chat.completion.chunk', choices: [{index: 0, delta, finish_reason: finishReason}]})}\n\n`;
}
