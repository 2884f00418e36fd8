import {Buffer} from 'node:buffer';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ExchangeClient} from '@valvesaddle/exchange';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {Prompt} from './prompt.ts';

type EmulatedExchangesOptions = {
	readonly endpoints: ReadonlyMap<string, EmulatedEndpoint>;
	readonly findPrompt: (id: string) => Prompt | undefined;
};

const okStatus = 200;
const notRunStatus = 503;

/**
 Creates a node's exchanges with emulated engines.

 @example
 const exchanges = createEmulatedExchanges({endpoints, findPrompt: id => prompts.get(id)});
 */
export function createEmulatedExchanges({endpoints, findPrompt}: EmulatedExchangesOptions): ExchangeClient {
	let count = 0;

	return {
		send({address, headers}, listener) {
			const [id = '', urgency = '0', lastEventId = '-1'] = headers;
			const endpoint = endpoints.get(address);
			const prompt = findPrompt(id);
			if (endpoint === undefined || prompt === undefined) {
				throw new TypeError(`no endpoint ${address} or request ${id}`);
			}

			const jobId = `${id} ${count++}`;
			let isBegun = false;
			listener.onSent();
			endpoint.send({
				id: jobId,
				promptTokens: prompt.facts.promptTokens + Number(lastEventId) + 1,
				shared: prompt.facts.parts.slice(0, -1),
				events: prompt.events,
				firstEvent: Number(lastEventId) + 1,
				urgency: Number(urgency),
				onEvent(number) {
					if (!isBegun) {
						isBegun = true;
						listener.onHead(okStatus, {'x-request-id': id});
					}

					listener.onData(Buffer.from(`id: ${number}\ndata: x\n\n`));
				},
				onEnd() {
					listener.onEnd();
				},
				onRefused() {
					listener.onHead(notRunStatus, {'x-request-id': id});
					listener.onEnd();
				},
			}, () => {
				listener.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'connection lost'));
			});
			return {
				abort() {
					endpoint.abort(jobId);
				},
				resume() {
					// Callers of the emulator read at once.
				},
			};
		},
		closeAddress() {
			// Connections of the emulator end with their exchanges.
		},
		async close() {
			// Nothing is open between exchanges.
		},
	};
}
