import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {StartedProcess} from './started-process.ts';

/**
 Starts a script under the Node.js that runs this one and waits for its first line.

 @example
 const {firstLine, kill} = await startProcess('stand-ins-main.ts', ['{}']);
 */
export async function startProcess(script: string, scriptArguments: readonly string[]): Promise<StartedProcess> {
	const child = spawn(process.execPath, [script, ...scriptArguments], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	const [firstLine] = await once(lines, 'line') as [string];
	return {
		pid: child.pid ?? 0,
		child,
		firstLine,
		async kill() {
			if (child.exitCode === null && child.signalCode === null) {
				const gone = once(child, 'exit');
				child.kill('SIGKILL');
				await gone;
			}
		},
	};
}
