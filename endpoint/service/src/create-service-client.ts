import {Agent, request as sendRequest, type Dispatcher} from 'undici';
import {ValvesaddleError} from '@valvesaddle/error';
import {classifySendFailure, classifyStatus} from '@valvesaddle/http-outcome';
import type {ServiceClient} from './service-client.ts';
import type {ServiceClientOptions} from './service-client-options.ts';
import type {ServiceReply} from './service-reply.ts';
import type {ServiceRequest} from './service-request.ts';

const maximumReplyBytes = 8 * 1024 * 1024;

/**
 Creates a client for plain HTTP services.

 @example
 const reply = await services.call(request, signal);
 */
export function createServiceClient(options: ServiceClientOptions): ServiceClient {
	const agent = new Agent({
		connectTimeout: options.connectMs, headersTimeout: options.replyMs, bodyTimeout: options.replyMs, maxResponseSize: maximumReplyBytes,
	});

	async function call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceReply> {
		const headers = {
			'content-type': request.contentType,
			...request.trace,
			...(request.idempotencyKey !== undefined && {'idempotency-key': request.idempotencyKey}),
		};
		const response = await sendRequest(`${request.url}${request.path}`, {
			method: request.method,
			dispatcher: agent,
			headers,
			signal,
			...(request.body !== '' && {body: request.body}),
		});
		const body = await response.body.text();
		if (response.statusCode >= 500 || response.statusCode === 429) {
			throw classifyStatus(response.statusCode, body, response.headers['retry-after']);
		}

		return {
			status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream'), body,
		};
	}

	return {
		async call(request, signal) {
			try {
				return await call(request, signal);
			} catch (error) {
				throw error instanceof ValvesaddleError ? error : classifySendFailure(error, signal);
			}
		},
		close: async () => agent.destroy(),
	};
}
