import type {Test} from 'tap';
import {behaviours, startFakeEndpoint, type FakeEndpoint} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
Text in the path of a request that ends each process that runs it.
*/
export const crashingPath = 'crash';

/**
 Starts a platform whose endpoints end when they run a request with `crashingPath` in its path. Each has a successor with a new ID
 once its entry is gone.

 @example
 const pool = await startCrashingPool(t);
 await pool.call('/unsafe/crash');
 pool.countCrashes(); // 1
 */
export async function startCrashingPool(t: Test, size = 4) {
	const platform: Platform = await startPlatform(t);
	const started: FakeEndpoint[] = [];
	const crashes: string[] = [];
	const open = new Map<string, FakeEndpoint>();
	/**
	Crashed endpoints whose entries are still in the store.
	*/
	const ended = new Set<string>();
	let pings = 0;
	t.teardown(async () => Promise.all(started.map(async endpoint => endpoint.close())));

	async function startEndpoint(): Promise<void> {
		const endpoint = await startFakeEndpoint();
		started.push(endpoint);
		const id = `i-crashing-${started.length}`;
		open.set(id, endpoint);
		endpoint.setBehaviour((request, socket, resumed) => {
			if (request.line.includes(crashingPath)) {
				crashes.push(request.line);
				ended.add(id);
				open.delete(id);
				void endpoint.close();
			} else if (request.line.includes('/slow/')) {
				void behaviours.late(request, socket, resumed);
			} else if (request.line.includes('/stream/') || request.line.includes('/resumable/')) {
				behaviours.stream(request, socket);
			} else {
				behaviours.whole(request, socket);
			}
		});
		platform.store.registerEndpoint(id, {
			pool: 'register', address: endpoint.address, slots: 4, state: 'ready',
		});
	}

	/**
	Waits until a node has received the entries of all endpoints, and with them the removal of those before.
	*/
	async function waitForEndpoints(call: Platform['call']): Promise<void> {
		const newest = open.values().toArray().at(-1);
		const path = `/safe/ping/${++pings}`;
		await waitUntil(async () => {
			await call(path);
			return newest?.arrived().some(({line}) => line.includes(path)) === true;
		});
	}

	/**
	Removes the entries of crashed endpoints, as the store does when their leases expire, and starts their successors.
	*/
	async function replaceEnded(calls: ReadonlyArray<Platform['call']> = [platform.call]): Promise<void> {
		const ids = [...ended];
		for (const id of ids) {
			ended.delete(id);
			platform.store.remove(`servers/${id}`);
		}

		await Promise.all(ids.map(async () => startEndpoint()));
		await Promise.all(calls.map(async call => waitForEndpoints(call)));
	}

	await platform.open();
	platform.store.remove('servers/i-0');
	platform.store.remove('servers/i-1');
	await Promise.all(Array.from({length: size}, startEndpoint));
	await waitForEndpoints(platform.call);
	return {
		...platform, replaceEnded, waitForEndpoints, countCrashes: () => crashes.length, listOpen: () => open.values().toArray(),
	};
}
