/**
 Builds the single executable application: a copy of the running Node.js binary with the bundles and their code caches as assets.
 Output: `dist/valvesaddle`, or `valvesaddle` in the folder given as argument.
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
import {bundleChunk} from './build/bundle-chunk.ts';

const root = path.resolve(import.meta.dirname, '../..');
const dist = path.resolve(root, process.argv[2] ?? 'dist');
const boot = path.join(dist, 'boot.cjs');
const blob = path.join(dist, 'valvesaddle.blob');
const binary = path.join(dist, 'valvesaddle');
const configFile = path.join(dist, 'sea.json');
const chunks = ['gateway', 'program'] as const;
/**
Sentinel that marks the position of the blob in a Node.js binary; fixed by Node.js.
*/
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/**
V8 flags for VMs with a fraction of a core: no helper threads, which would only compete for that core, and a young generation that fits
into the processor's caches.
*/
const execArgv = ['--single-threaded', '--min-semi-space-size=4', '--max-semi-space-size=4'];

mkdirSync(dist, {recursive: true});
// A build that fails leaves no binary of an earlier one, which may be for another kind of machine. A running binary cannot be
// overwritten, only removed.
rmSync(binary, {force: true});
await bundleChunk({name: 'boot', outfile: boot});
const assets: Record<string, string> = {};
for (const name of chunks) {
	const bundle = path.join(dist, `${name}.cjs`);
	const cacheFile = path.join(dist, `${name}.cache`);
	// eslint-disable-next-line no-await-in-loop -- one after the other
	await bundleChunk({name, outfile: bundle});
	execFileSync(process.execPath, [...execArgv, path.join(import.meta.dirname, 'build/compile-chunk.ts'), name, bundle, cacheFile, dist], {stdio: 'inherit'});
	assets[`${name}.cjs`] = bundle;
	assets[`${name}.cache`] = cacheFile;
}

writeFileSync(configFile, JSON.stringify({
	main: boot, output: blob, assets, disableExperimentalSEAWarning: true, useCodeCache: false, execArgv, execArgvExtension: 'env',
}));
execFileSync(process.execPath, ['--experimental-sea-config', configFile], {stdio: 'inherit'});
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
execFileSync(process.execPath, [
	path.join(root, 'node_modules/postject/dist/cli.js'), binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', sentinelFuse,
], {stdio: 'inherit'});
