// Stand-in for the platform's metadata store, as PROTOCOL.md describes it. No faults of its own: those are put in its way.

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const wait = milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
const pageItems = 500;

function compareKeys(a, b) {
	if (a.key === b.key) {
		return 0;
	}

	return a.key < b.key ? -1 : 1;
}

// Starts a store on a loopback address. `answerMs` is the time that an answer takes.
export async function startStore({host = '127.0.0.1', answerMs = 4} = {}) {
	const entries = new Map();
	const history = [];
	const watches = new Set();
	const leases = new Map();
	let revision = 100;
	let nextLease = 1;

	function record(entry) {
		if (entry.removed) {
			entries.delete(entry.key);
		} else {
			const made = entries.get(entry.key)?.made ?? entry.revision;
			entry.made = made;
			entries.set(entry.key, entry);
		}

		history.push(entry);
		for (const watch of watches) {
			watch();
		}
	}

	function endLease(id) {
		const lease = leases.get(id);
		if (lease === undefined) {
			return false;
		}

		leases.delete(id);
		clearTimeout(lease.timer);
		const held = entries.values().filter(entry => entry.lease === id).toArray();
		if (held.length > 0) {
			revision++;
		}

		for (const {key} of held) {
			record({key, revision, removed: true});
		}

		return true;
	}

	function keepLease(id) {
		const lease = leases.get(id);
		if (lease === undefined) {
			return false;
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(endLease, lease.ttlMs, id);
		return true;
	}

	function put(key, value, lease = 0) {
		revision++;
		record({
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, lease,
		});
		return revision;
	}

	function remove(key) {
		if (!entries.has(key)) {
			return;
		}

		revision++;
		record({key, revision, removed: true});
	}

	async function handle(request, response) {
		const pieces = await Array.fromAsync(request);

		const text = Buffer.concat(pieces).toString();
		const body = text === '' ? {} : JSON.parse(text);
		const url = new URL(request.url, 'http://store');
		const names = url.pathname.split('/', 4);
		const call = names.at(2);
		const argument = names.at(3);
		const query = url.searchParams;
		await wait(answerMs);
		const answer = (status, content) => {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(content));
		};

		switch (call) {
			case 'kv-range': {
				const prefix = query.get('prefix') ?? '';
				const after = query.get('after') ?? '';
				const items = entries.values().filter(({key}) => key.startsWith(prefix) && key > after).toArray().toSorted(compareKeys);
				answer(200, {items: items.slice(0, pageItems), truncated: items.length > pageItems, 'as-of': revision});

				break;
			}

			case 'kv-key': {
				const entry = entries.get(query.get('key'));
				answer(entry === undefined ? 404 : 200, entry ?? {});

				break;
			}

			case 'kv-watch': {
				const prefix = query.get('prefix') ?? '';
				const after = Number(query.get('after'));
				const {promise, resolve} = Promise.withResolvers();
				const timer = setTimeout(resolve, Number(query.get('wait-ms') ?? 0));
				const list = () => history.filter(entry => entry.revision > after && entry.key.startsWith(prefix));
				const check = () => {
					if (list().length > 0) {
						resolve();
					}
				};

				watches.add(check);
				response.once('close', resolve);
				check();
				await promise;
				watches.delete(check);
				clearTimeout(timer);
				if (!response.destroyed) {
					answer(200, {events: list(), 'as-of': revision});
				}

				break;
			}

			case 'kv-txn': {
				const {expected = [], writes = [], deletes = []} = body;
				if (writes.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
					answer(404, {});
				} else if (expected.some(({key, revision: wanted}) => (entries.get(key)?.revision ?? 0) !== wanted)) {
					answer(412, {items: expected.flatMap(({key}) => entries.get(key) ?? [])});
				} else {
					revision++;
					for (const {key, value, lease = 0} of writes) {
						record({
							key, value, revision, lease,
						});
					}

					for (const key of deletes) {
						if (entries.has(key)) {
							record({key, revision, removed: true});
						}
					}

					answer(200, {revision});
				}

				break;
			}

			case 'kv-lease': {
				const id = nextLease++;
				leases.set(id, {ttlMs: body['ttl-ms']});
				keepLease(id);
				answer(200, {lease: id, 'ttl-ms': body['ttl-ms']});

				break;
			}

			case 'kv-keep': {
				answer(keepLease(Number(argument)) ? 200 : 404, {});

				break;
			}

			case 'kv-lease-end': {
				answer(endLease(Number(argument)) ? 200 : 404, {});

				break;
			}

			default: {
				answer(404, {});
			}
		}
	}

	const server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		put,
		remove,
		entries,
		close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}

			server.closeAllConnections();
			server.close();
		},
	};
}
