import type {EmulationFault, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';

function createOverload(engine: number, atMs: number, retryAfterMs: number | undefined): EmulationFault {
	return {
		kind: 'overload', engine, atMs, forMs: 4000, factor: 1, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/**
 Creates the load of drafts beside queries with engines that refuse all requests: two of six for 4 s with a cooldown of 3 s,
 two for 4 s without a cooldown, then all for 0.5 s with a cooldown of 1 s. One engine drains and signals it only in its
 answers.

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
