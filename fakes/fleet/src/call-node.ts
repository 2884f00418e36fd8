import {Agent, request} from 'undici';
import type {CallOptions} from './call-options.ts';
import type {CallResult} from './call-result.ts';
import {fleetKeys} from './fleet-keys.ts';

const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

/**
 Calls a path of a node as a caller would and reads the whole reply.

 @example
 const {status, json} = await callNode(node.callers, '/v1/models');
 */
export async function callNode(address: string, path: string, options: CallOptions = {}): Promise<CallResult> {
	const body = typeof options.body === 'string' ? options.body : JSON.stringify(options.body);
	const response = await request(`http://${address}${path}`, {
		method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
		dispatcher: agent,
		headers: {authorization: `Bearer ${options.key ?? fleetKeys.caller}`, 'content-type': 'application/json', ...options.headers},
		...(body !== undefined && {body}),
		...(options.signal !== undefined && {signal: options.signal}),
	});
	const text = await response.body.text();
	return {
		status: response.statusCode, headers: response.headers, text, json: parseJson(text),
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
