import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {startFakeServer, type FakeRequest} from '@valvesaddle/fake-http';
import type {FakeKv} from './fake-kv.ts';
import type {KvFault} from './kv-fault.ts';

type Item = {
	readonly value: string;
	readonly index: number;
};

type FakeKvOptions = {
	readonly host?: string;
	readonly port?: number;
};

const prefix = '/v1/kv/';
const frozenPollMs = 30;
const largestValue = 1024 * 1024;

/**
 Starts a stand-in for the key-value service: the key-value part of Consul's HTTP interface, with faults.

 @example
 const kv = await startFakeKv();
 kv.failNextWrite('drop-after');
 */
export async function startFakeKv(options: FakeKvOptions = {}): Promise<FakeKv> {
	const items = new Map<string, Item>();
	const lateWrites: Array<() => void> = [];
	const calls: Record<string, number> = {};
	const watchers = new Set<() => void>();
	let index = 1;
	let fault: KvFault | undefined;
	let writeFault: KvFault | undefined;
	let delayMs = 0;

	function addCall(kind: string): void {
		calls[kind] = (calls[kind] ?? 0) + 1;
	}

	function settleWatchers(): void {
		for (const wake of watchers) {
			wake();
		}
	}

	function write(key: string, request: FakeRequest): string {
		const cas = request.query.get('cas');
		if (cas !== null && Number(cas) !== (items.get(key)?.index ?? 0)) {
			return 'false';
		}

		index++;
		items.set(key, {value: request.body, index});
		settleWatchers();
		return 'true';
	}

	async function waitForChange(key: string, request: FakeRequest, response: ServerResponse): Promise<void> {
		const after = Number(request.query.get('index'));
		const waitMs = Number((request.query.get('wait') ?? '1000').replace('ms', ''));
		const until = Date.now() + waitMs;
		const hasChanged = (): boolean => (items.get(key)?.index ?? 0) > after || after === 0;
		while (!hasChanged() && Date.now() < until && !response.destroyed) {
			const {promise, resolve} = Promise.withResolvers<void>();
			watchers.add(resolve);
			response.once('close', resolve);
			const timer = setTimeout(resolve, until - Date.now());
			// eslint-disable-next-line no-await-in-loop -- waits for the next change
			await promise;
			clearTimeout(timer);
			watchers.delete(resolve);
		}
	}

	function sendItem(key: string, response: ServerResponse): void {
		const item = items.get(key);
		response.setHeader('x-consul-index', String(item?.index ?? index));
		if (item === undefined) {
			response.statusCode = 404;
			response.end();
			return;
		}

		response.end(JSON.stringify([{Key: key, Value: Buffer.from(item.value).toString('base64'), ModifyIndex: item.index}]));
	}

	const effects: Readonly<Record<string, (key: string, request: FakeRequest) => string>> = {
		PUT: write,
		DELETE(key) {
			items.delete(key);
			index++;
			settleWatchers();
			return 'true';
		},
	};

	/**
	Applies a fault to a call; returns true when the call is over with it.
	*/
	async function applyFault(kind: KvFault, run: () => void, response: ServerResponse): Promise<void> {
		const handlers: Readonly<Record<KvFault, () => Promise<void> | void>> = {
			refuse() {
				response.statusCode = 503;
				response.end('down');
			},
			'drop-before'() {
				response.destroy();
			},
			'drop-after'() {
				run();
				response.destroy();
			},
			late() {
				response.destroy();
				lateWrites.push(run);
			},
			async freeze() {
				const isFrozen = (): boolean => fault === 'freeze';
				while (isFrozen() && !response.destroyed) {
					// eslint-disable-next-line no-await-in-loop -- until the fault is over
					await delay(frozenPollMs);
				}

				response.destroy();
			},
			garbage() {
				response.end('<html>');
			},
		};
		await handlers[kind]();
	}

	function takeFault(isWrite: boolean): KvFault | undefined {
		const once = isWrite ? writeFault : undefined;
		if (isWrite) {
			writeFault = undefined;
		}

		return fault ?? once;
	}

	async function handleWrite(key: string, request: FakeRequest, response: ServerResponse): Promise<void> {
		addCall(request.method.toLowerCase());
		// A late write takes effect between the reads after it and the next write: the order is the same on every machine.
		for (const runLate of lateWrites.splice(0)) {
			runLate();
		}

		const run = (): string => effects[request.method]?.(key, request) ?? 'false';
		const runOnly = (): void => {
			run();
		};

		const kind = takeFault(true);
		if (kind !== undefined) {
			await applyFault(kind, runOnly, response);
			return;
		}

		if (request.body.length > largestValue) {
			response.statusCode = 413;
			response.end('value too large');
			return;
		}

		response.end(run());
	}

	async function handleRead(key: string, request: FakeRequest, response: ServerResponse): Promise<void> {
		const isWatch = request.query.has('index');
		addCall(isWatch ? 'watch' : 'get');
		const kind = takeFault(false);
		if (kind !== undefined) {
			await applyFault(kind, () => {
				// A read has no effect.
			}, response);
			return;
		}

		if (isWatch) {
			await waitForChange(key, request, response);
		}

		sendItem(key, response);
	}

	const server = await startFakeServer({
		...options,
		async handle(request, response) {
			if (delayMs > 0) {
				await delay(delayMs);
			}

			const key = decodeURIComponent(request.path.slice(prefix.length));
			await (request.method === 'GET' ? handleRead(key, request, response) : handleWrite(key, request, response));
		},
	});

	return {
		...server,
		setFault(kind) {
			fault = kind;
			settleWatchers();
			if (kind !== undefined) {
				server.cut();
			}
		},
		failNextWrite(kind) {
			writeFault = kind;
		},
		setDelay(milliseconds) {
			delayMs = milliseconds;
		},
		read: key => items.get(key)?.value,
		keys: () => items.keys().toArray(),
		calls: () => ({...calls}),
	};
}
