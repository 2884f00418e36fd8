/**
 Builds the one binary: a bundle, put into a copy of the Node.js that runs this script as a single executable
 application. Output: `dist/valvesaddle`, or in the folder named as argument.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync,
	copyFileSync,
	mkdirSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const root = path.resolve(import.meta.dirname, '../..');
const dist = path.join(root, process.argv[2] ?? 'dist');
const bundle = path.join(dist, 'valvesaddle.cjs');
const blob = path.join(dist, 'valvesaddle.blob');
const binary = path.join(dist, 'valvesaddle');
const configFile = path.join(dist, 'sea.json');
/**
Fixed by Node.js: marks the place of the blob in its binary.
*/
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/**
Garbage is collected by the main thread alone, less often in a larger space: on VMs with a part of one core helper threads only
take turns with it. 12.8 % of a core a node in place of 14.5 (20 nodes, 100 requests a second, streams of 24 events; processor
time of the processes).
*/
const execArgv = ['--single-threaded-gc', '--min-semi-space-size=16', '--max-semi-space-size=16'];

mkdirSync(dist, {recursive: true});
await build({
	entryPoints: [path.join(import.meta.dirname, 'src/main.ts')],
	outfile: bundle,
	bundle: true,
	platform: 'node',
	target: 'node24',
	format: 'cjs',
	// Optional parts of libraries that are not used.
	external: ['unix-dgram', 'bufferutil', 'utf-8-validate'],
	minify: true,
	keepNames: true,
	logLevel: 'warning',
});
writeFileSync(configFile, JSON.stringify({
	main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: true, execArgv, execArgvExtension: 'env',
}));
execFileSync(process.execPath, ['--experimental-sea-config', configFile], {stdio: 'inherit'});
// A binary that runs cannot be written over.
rmSync(binary, {force: true});
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
execFileSync(process.execPath, [
	path.join(root, 'node_modules/postject/dist/cli.js'), binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', fuse,
], {stdio: 'inherit'});
