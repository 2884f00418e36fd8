/*
Guards against an answer that fails in its middle and looks complete.
*/
import {createServer} from 'node:http';
import {test} from 'tap';
import {request} from 'undici';
import {startServer} from '@valvesaddle/http-server';
import type {ErrorEnd} from '../src/error-end.ts';
import {sendError} from '../src/send-error.ts';

const end: ErrorEnd = {
	kind: 'error', code: 'ERR_VALVESADDLE_INTERNAL', message: 'the answer cannot be written', ran: 'maybe', retryAfterMs: undefined,
};

test('an error after the first part of an answer breaks the connection', async t => {
	const server = createServer((_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		response.write('{"choices":[', () => {
			sendError(response, end, 'n1_1');
		});
	});
	const address = await startServer(server, {host: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {body} = await request(`http://${address}/`);
	await t.rejects(body.text());
});
