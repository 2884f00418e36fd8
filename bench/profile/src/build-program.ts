import path from 'node:path';
import {bundleChunk} from '../../../cli/valvesaddle/build/bundle-chunk.ts';

/**
 Bundles what a gateway node runs as the binary has it, but with its names and places kept, so that a profile can be read.

 @example
 const program = await buildProgram('/tmp/profile-1');
 */
export async function buildProgram(folder: string): Promise<string> {
	const outfile = path.join(folder, 'gateway.cjs');
	await bundleChunk({name: 'gateway', outfile, isReadable: true});
	return outfile;
}
