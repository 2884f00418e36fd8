import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {startFakeServer, type FakeRequest} from '@valvesaddle/fake-http';
import {createFakeEntry} from './create-fake-entry.ts';
import type {FakeFleetStore} from './fake-fleet-store.ts';
import type {StoreFault} from './store-fault.ts';

type Entry = {
	readonly key: string;
	readonly value?: string;
	readonly revision: number;
	readonly lease: number;
	readonly removed?: true;
};

type Waiting = {
	readonly prefix: string;
	readonly after: number;
	readonly response: ServerResponse;
};

type TransactionBody = {
	readonly expected: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly writes: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: number}>;
	readonly deletes: readonly string[];
};

type Handler = (request: FakeRequest, response: ServerResponse, argument: string) => void;

/**
Items on one page of a range.
*/
const pageSize = 3;

/**
 Starts a stand-in for the metadata store: revisions, pages, watches, transactions and leases.

 @example
 const store = await startFakeFleetStore();
 store.put('op/config', {version: 1, routes: [], services: []});
 */
export async function startFakeFleetStore(): Promise<FakeFleetStore> {
	const entries = new Map<string, Entry>();
	const history: Entry[] = [];
	const calls = new Map<string, number>();
	const waiting = new Set<Waiting>();
	const leases = new Set<number>();
	let revision = 1;
	let lastLease = 0;
	let fault: StoreFault | undefined;

	function answer(response: ServerResponse, status: number, body: unknown): void {
		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
	}

	function write(entry: Entry): void {
		if (entry.removed) {
			entries.delete(entry.key);
		} else {
			entries.set(entry.key, entry);
		}

		history.push(entry);
		for (const watch of waiting) {
			answerWatch(watch);
		}
	}

	function answerWatch(watch: Waiting): void {
		const events = history.filter(entry => entry.revision > watch.after && entry.key.startsWith(watch.prefix));
		if (events.length === 0) {
			return;
		}

		waiting.delete(watch);
		answer(watch.response, 200, {events, 'as-of': revision});
	}

	function endLease(lease: number): void {
		leases.delete(lease);
		revision++;
		for (const entry of entries.values().filter(held => held.lease === lease)) {
			write({
				key: entry.key, revision, lease, removed: true,
			});
		}
	}

	const handlers: Readonly<Record<string, Handler>> = {
		'kv-range'({query}, response) {
			const after = query.get('after') ?? '';
			const items = entries.values().filter(({key}) => key.startsWith(query.get('prefix') ?? '') && key > after).toArray()
				.toSorted((a, b) => a.key.localeCompare(b.key));
			answer(response, 200, {items: items.slice(0, pageSize), truncated: items.length > pageSize, 'as-of': revision});
		},
		'kv-key'({query}, response) {
			const entry = entries.get(query.get('key') ?? '');
			answer(response, entry === undefined ? 404 : 200, entry ?? {});
		},
		'kv-watch'({query}, response) {
			if (fault === 'compact') {
				answer(response, 410, {});
				return;
			}

			const watch = {prefix: query.get('prefix') ?? '', after: Number(query.get('after')), response};
			waiting.add(watch);
			response.once('close', () => {
				waiting.delete(watch);
			});
			answerWatch(watch);
		},
		'kv-txn'({body}, response) {
			const {expected, writes, deletes} = JSON.parse(body) as TransactionBody;
			if (expected.some(({key, revision: wanted}) => (entries.get(key)?.revision ?? 0) !== wanted)) {
				answer(response, 412, {items: []});
				return;
			}

			revision++;
			for (const {key, value, lease = 0} of writes) {
				write({
					key, value, revision, lease,
				});
			}

			for (const key of deletes) {
				write({
					key, revision, lease: 0, removed: true,
				});
			}

			answer(response, 200, {revision});
		},
		'kv-lease'({body}, response) {
			lastLease++;
			leases.add(lastLease);
			answer(response, 200, {...JSON.parse(body) as Record<string, unknown>, lease: lastLease});
		},
		'kv-keep'(_request, response, lease) {
			answer(response, leases.has(Number(lease)) ? 200 : 404, {});
		},
		'kv-lease-end'(_request, response, lease) {
			endLease(Number(lease));
			answer(response, 200, {});
		},
	};

	const server = await startFakeServer({
		handle(request, response) {
			const [name = '', argument = ''] = request.path.split('/').slice(2);
			calls.set(name, (calls.get(name) ?? 0) + 1);
			if (fault === 'silent') {
				return;
			}

			if (fault === 'refuse') {
				answer(response, 503, {});
				return;
			}

			const isLost = fault === 'lose' && request.method === 'POST';
			handlers[name]?.(request, isLost ? new Proxy(response, {get: () => () => response.destroy()}) : response, argument);
		},
	});

	function writeValue(key: string, value: unknown): void {
		revision++;
		write({
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, lease: 0,
		});
	}

	return {
		...server,
		put: writeValue,
		publish(configuration) {
			writeValue('op/config', configuration);
		},
		registerEndpoint(id, entry) {
			writeValue(`servers/${id}`, createFakeEntry(entry));
		},
		putBytes(key, value) {
			revision++;
			write({
				key, value, revision, lease: 0,
			});
		},
		remove(key) {
			revision++;
			write({
				key, revision, lease: 0, removed: true,
			});
		},
		keys: () => entries.keys().toArray(),
		setFault(kind) {
			fault = kind;
		},
		calls: () => calls,
		endLeases() {
			for (const lease of leases) {
				endLease(lease);
			}
		},
	};
}
