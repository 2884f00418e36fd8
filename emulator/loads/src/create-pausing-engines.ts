import type {EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';
import {createPauses} from './create-pauses.ts';
import type {PausesLoadOptions} from './pauses-load-options.ts';

/**
 Creates the load of drafts beside queries on 9 nodes with engines and nodes that pause; without overload, it has no bursts.

 @example
 createPausingEngines({isOverloaded: true, seed: 1}).name; // 'pausing-engines-overload'
 */
export function createPausingEngines({isOverloaded, seed}: PausesLoadOptions): EmulationLoad {
	const load = createDraftsBesideQueries();
	const classes = load.classes.map(kind => ({...kind, isResumable: true, attempts: 2}));
	return {
		...load,
		name: isOverloaded ? 'pausing-engines-overload' : 'pausing-engines',
		classes: isOverloaded ? classes : classes.map(kind => ({...kind, bursts: []})),
		faults: createPauses({
			seed, engines: load.slowness.length, nodes: load.nodes, lengthMs: load.lengthMs, enginePauses: 6, foreignPrompts: 8, nodePauses: 16, darkAtMs: 15_000,
		}),
	};
}
