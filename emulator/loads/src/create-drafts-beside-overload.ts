import type {EmulationFault, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';

function createOverload(engine: number, atMs: number, retryAfterMs: number | undefined): EmulationFault {
	return {
		kind: 'overload', engine, atMs, forMs: 4000, factor: 1, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/**
 Creates the load of drafts beside queries with engines that turn all requests away for four seconds: two of six that ask for a pause of
 3 s, two that ask for none, then all for a pause of 1 s. One engine leaves and says so in its answers alone.

 @example
 createDraftsBesideOverload().faults.length; // 11
 */
export function createDraftsBesideOverload(): EmulationLoad {
	const load = createDraftsBesideQueries();
	return {
		...load,
		name: 'drafts-beside-overload',
		faults: [
			...[0, 1].map(engine => createOverload(engine, 2000, 3000)),
			...[2, 3].map(engine => createOverload(engine, 9000, undefined)),
			...load.slowness.map((_slowness, engine) => ({...createOverload(engine, 17_000, 1000), forMs: 500})),
			{
				kind: 'leave', engine: 5, atMs: 7000, forMs: 0, factor: 1,
			},
		],
	};
}
