import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OperatorService} from '@valvesaddle/operator-schema';
import type {OperatorClientOptions} from './operator-client-options.ts';

/**
 Creates a client of the operator API.

 @example
 const {revision} = await createOperatorClient({url, token}).getConfiguration({});
 */
export function createOperatorClient(options: OperatorClientOptions): Client<typeof OperatorService> {
	const transport = createConnectTransport({
		baseUrl: options.url,
		httpVersion: '1.1',
		interceptors: [next => async request => {
			request.header.set('authorization', `Bearer ${options.token}`);
			return next(request);
		}],
	});
	return createClient(OperatorService, transport);
}
