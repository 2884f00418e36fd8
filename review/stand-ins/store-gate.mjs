// The store's address for one machine: passes its calls on, or turns the machine away with 503 while the store serves all others.

import {createServer, request} from 'node:http';

export async function startGate({host, store}) {
	const waiting = new Set();
	const [storeHost, storePort] = store.split(':', 2);
	let isTurnedAway = false;

	function refuse(response) {
		if (!response.headersSent && !response.destroyed) {
			response.writeHead(503, {'content-type': 'application/json'}).end('{}');
		}
	}

	const server = createServer((call, response) => {
		if (isTurnedAway) {
			call.resume();
			refuse(response);
			return;
		}

		const passed = request({
			host: storeHost, port: storePort, path: call.url, method: call.method, headers: call.headers,
		}, answer => {
			waiting.delete(response);
			if (response.headersSent) {
				answer.resume();
				return;
			}

			response.writeHead(answer.statusCode, answer.headers);
			answer.pipe(response);
		});
		waiting.add(response);
		passed.on('error', () => {
			refuse(response);
		});
		response.once('close', () => {
			waiting.delete(response);
			passed.destroy();
		});
		call.pipe(passed);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		// Also the calls that wait get 503.
		turnAway() {
			isTurnedAway = true;
			for (const response of waiting) {
				refuse(response);
			}
		},
		serve() {
			isTurnedAway = false;
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
