import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import type {StartedProcess} from './started-process.ts';

/**
 Starts a program and waits for its first line.

 @example
 const {firstLine, kill} = await startProcess('dist/valvesaddle', ['serve', '--settings', 'node.toml']);
 */
export async function startProcess(program: string, programArguments: readonly string[]): Promise<StartedProcess> {
	const child = spawn(program, programArguments, {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	const [firstLine] = await once(lines, 'line') as [string];
	return {
		pid: child.pid ?? 0,
		child,
		firstLine,
		async kill() {
			if (!(child.exitCode === null && child.signalCode === null)) {
				return;
			}

			const gone = once(child, 'exit');
			child.kill('SIGKILL');
			await gone;
		},
	};
}
