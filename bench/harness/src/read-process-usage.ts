import {readFile} from 'node:fs/promises';
import type {ProcessUsage} from './process-usage.ts';

/**
The kernel counts processor time in hundredths of a second.
*/
const millisecondsPerTick = 10;
const userTimeField = 11;
const systemTimeField = 12;
const bytesPerKilobyte = 1024;

/**
 Reads what a process used so far from the kernel.

 @example
 const {cpuMs} = await readProcessUsage(pid);
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const readNumber = (name: string): number => Number(new RegExp(String.raw`^${name}:\s+(?<value>\d+)`, 'mv').exec(status)?.groups?.value ?? 0);
	return {
		cpuMs: (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * millisecondsPerTick,
		residentBytes: readNumber('VmRSS') * bytesPerKilobyte,
		privateBytes: readNumber('RssAnon') * bytesPerKilobyte,
		wakeUps: readNumber('voluntary_ctxt_switches'),
	};
}
