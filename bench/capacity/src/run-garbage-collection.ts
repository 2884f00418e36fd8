import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/**
 Frees what can be freed, so that a difference of heap sizes tells what is held.

 @example
 collectGarbage();
 */
export function runGarbageCollection(): void {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	collect();
}
