import {createParser} from 'eventsource-parser';
import {request, type Agent} from 'undici';
import type {Arrival} from './arrival.ts';
import type {Balancer} from './balancer.ts';
import type {LoadPlan} from './load-plan.ts';
import type {LoadResult} from './load-result.ts';

const mostReconnects = 4;
const paceTolerance = 1.05;

type RunOptions = {
	readonly arrival: Arrival;
	readonly plan: LoadPlan;
	readonly balancer: Balancer;
	readonly agent: Agent;
	readonly signal: AbortSignal;
};

type Answer = {
	text: string;
	tokens: number;
	firstAt: number | undefined;
	lastAt: number;
	isDone: boolean;
	isFailed: boolean;
};

type Chunk = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}}>;
};

/**
 Sends one request of a load as a caller would, going on through another node when a connection breaks.

 @example
 const result = await runRequest({arrival, plan, balancer, agent, signal});
 */
export async function runRequest(options: RunOptions): Promise<LoadResult> {
	const {arrival, plan} = options;
	const startedAt = performance.now();
	const answer: Answer = {
		text: '', tokens: 0, firstAt: undefined, lastAt: 0, isDone: false, isFailed: false,
	};
	let reconnects = 0;
	let isRefused = false;
	while (!isRefused && !answer.isDone && !answer.isFailed && !options.signal.aborted) {
		const address = options.balancer.pick();
		try {
			// eslint-disable-next-line no-await-in-loop -- a try follows on the one before
			isRefused = !await wasTaken(options, address, answer);
		} catch {
			options.balancer.markBroken(address);
		}

		if (answer.isDone) {
			continue;
		}

		reconnects++;
		answer.isFailed ||= reconnects > mostReconnects;
	}

	const firstTokenMs = answer.firstAt === undefined ? undefined : answer.firstAt - startedAt;
	const interTokenMs = answer.firstAt === undefined || answer.tokens < 2 ? undefined : (answer.lastAt - answer.firstAt) / (answer.tokens - 1);
	const outcome = classify(answer, arrival, isRefused);
	return {
		className: arrival.loadClass.className,
		account: arrival.account.name,
		wantedTokens: arrival.tokens,
		arrivedAt: arrival.at,
		outcome,
		firstTokenMs,
		interTokenMs,
		tokens: answer.tokens,
		reconnects: outcome === 'complete' ? reconnects : Math.max(0, reconnects - 1),
		isInTime: outcome === 'complete' && (firstTokenMs ?? Infinity) <= arrival.loadClass.firstTokenTargetMs
			&& (interTokenMs ?? 0) <= plan.interTokenTargetMs * paceTolerance,
	};
}

/**
Reads an answer or the rest of one; false when the request was refused.
*/
async function wasTaken({arrival, agent, signal}: RunOptions, address: string, answer: Answer): Promise<boolean> {
	const question = {role: 'user', content: `${arrival.account.name} ${arrival.at}`};
	const resumed = answer.text === '' ? {} : {continue_final_message: true, add_generation_prompt: false};
	const messages = answer.text === '' ? [question] : [question, {role: 'assistant', content: answer.text}];
	const response = await request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		dispatcher: agent,
		headers: {authorization: `Bearer ${arrival.account.key}`, 'content-type': 'application/json', 'x-valvesaddle-class': arrival.loadClass.className},
		body: JSON.stringify({
			model: 'drafting', stream: true, max_tokens: arrival.tokens - answer.tokens, messages, ...resumed,
		}),
		signal,
	});
	if (response.statusCode !== 200) {
		await response.body.dump();
		return false;
	}

	const parser = createParser({
		onEvent({data, event}) {
			readEvent(data, event, answer);
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of response.body) {
		parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
	}

	return true;
}

function readEvent(data: string, event: string | undefined, answer: Answer): void {
	if (event === 'error') {
		answer.isFailed = true;
	} else if (data === '[DONE]') {
		answer.isDone = true;
	} else {
		const content = (JSON.parse(data) as Chunk).choices?.[0]?.delta.content;
		if (content !== undefined) {
			answer.text += content;
			answer.tokens++;
			answer.lastAt = performance.now();
			answer.firstAt ??= answer.lastAt;
		}
	}
}

function classify(answer: Answer, {tokens}: Arrival, isRefused: boolean): LoadResult['outcome'] {
	if (isRefused && answer.tokens === 0) {
		return 'refused';
	}

	if (!answer.isDone) {
		return 'failed';
	}

	const isRight = answer.text === Array.from({length: tokens}, (_, index) => `t${index} `).join('');
	return isRight ? 'complete' : 'wrong';
}
