import path from 'node:path';
import {build} from 'esbuild';

const entry = path.resolve(import.meta.dirname, '../../../cli/valvesaddle/src/main.ts');

/**
 Bundles the program as the binary has it, but with its names and places kept, so that a profile can be read.

 @example
 const program = await buildProgram('/tmp/profile-1');
 */
export async function buildProgram(folder: string): Promise<string> {
	const outfile = path.join(folder, 'valvesaddle.cjs');
	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node24',
		format: 'cjs',
		external: ['unix-dgram', 'bufferutil', 'utf-8-validate'],
		logLevel: 'error',
	});
	return outfile;
}
