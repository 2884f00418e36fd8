import type {EmulationFault, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createPauses} from './create-pauses.ts';
import {createWeakNodes} from './create-weak-nodes.ts';
import type {PausesLoadOptions} from './pauses-load-options.ts';

const darkMs = 4500;
/**
When engines go dark, in milliseconds, and how many at once.
*/
const darkAtMs = [3000, 8500];
const darkEngines = 3;

/**
 Creates the load of weak nodes with engines that do not pause: twice, a sixth of them goes dark for 4.5 s and loses its requests.

 @example
 createDarkEngines({isOverloaded: false, seed: 1}).name; // 'dark-engines'
 */
export function createDarkEngines(options: PausesLoadOptions): EmulationLoad {
	const load = createWeakNodes(options);
	const nodePauses = load.faults.filter(({kind}) => kind === 'node-pause').length;
	const pauses = createPauses({
		seed: options.seed, engines: load.slowness.length, nodes: load.nodes, lengthMs: load.lengthMs, enginePauses: 0, foreignPrompts: 0, nodePauses, darkAtMs: Infinity,
	});
	const dark = darkAtMs.flatMap((atMs, round) => Array.from({length: darkEngines}, (_value, index): EmulationFault => ({
		kind: 'dark', engine: (round * darkEngines) + index, atMs, forMs: darkMs, factor: 1,
	})));
	return {...load, name: options.isOverloaded ? 'dark-engines-overload' : 'dark-engines', faults: [...pauses, ...dark]};
}
