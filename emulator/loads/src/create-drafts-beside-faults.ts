import type {EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';

/**
 Creates the load of drafts beside queries with a larger burst, in which one engine becomes unresponsive and another crashes.

 @example
 createDraftsBesideFaults().faults.length; // 2
 */
export function createDraftsBesideFaults(): EmulationLoad {
	const load = createDraftsBesideQueries();
	const bursts = [{atMs: 500, forMs: 9000, factor: 2.4}, {atMs: 17_500, forMs: 4000, factor: 2}];
	return {
		...load,
		name: 'drafts-beside-faults',
		classes: load.classes.map(kind => kind.name === 'drafts' ? {...kind, bursts} : kind),
		faults: [
			{
				kind: 'dark', engine: 0, atMs: 7900, forMs: 4700, factor: 1,
			},
			{
				kind: 'crash', engine: 1, atMs: 9500, forMs: 0, factor: 1,
			},
		],
	};
}
