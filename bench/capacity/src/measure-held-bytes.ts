import process from 'node:process';
import {runGarbageCollection} from './run-garbage-collection.ts';

/**
 Measures the heap that each of many things holds, in bytes.

 @example
 await measureHeldBytes(10_000, count => Array.from({length: count}, () => ({})));
 */
export async function measureHeldBytes(count: number, create: (count: number) => unknown): Promise<number> {
	runGarbageCollection();
	const before = process.memoryUsage().heapUsed;
	const held = await create(count);
	runGarbageCollection();
	const after = process.memoryUsage().heapUsed;
	return held === undefined ? 0 : (after - before) / count;
}
