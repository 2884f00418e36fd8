import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/**
 Measures what the process keeps, in bytes: objects and buffers that are left after a garbage collection.

 @example
 const before = measureMemory();
 */
export function measureMemory(): number {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}
