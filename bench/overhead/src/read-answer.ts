import {createParser} from 'eventsource-parser';
import {request, type Agent} from 'undici';
import {fleetKeys} from '@valvesaddle/fake-fleet';
import type {Sample} from './sample.ts';

type Target = {
	readonly url: string;
	readonly tokens: number;
	readonly agent: Agent;
};

/**
 Asks for a streamed answer and takes its times.

 @example
 const {firstTokenMs} = await readAnswer({url, tokens: 50, agent});
 */
export async function readAnswer({url, tokens, agent}: Target): Promise<Sample> {
	const startedAt = performance.now();
	let firstAt = 0;
	let count = 0;
	const response = await request(`${url}/v1/chat/completions`, {
		method: 'POST',
		dispatcher: agent,
		headers: {authorization: `Bearer ${fleetKeys.caller}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'drafting', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'Hello'}],
		}),
	});
	const parser = createParser({
		onEvent({data}) {
			if (!data.includes('"content"')) {
				return;
			}

			firstAt ||= performance.now();
			count++;
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of response.body) {
		parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
	}

	return {firstTokenMs: firstAt - startedAt, wholeMs: performance.now() - startedAt, tokens: count};
}
