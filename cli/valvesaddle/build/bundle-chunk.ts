import path from 'node:path';
import {build, type Plugin} from 'esbuild';
import type {ChunkName} from '../src/chunk-name.ts';

type BundleOptions = {
	readonly name: ChunkName | 'boot';
	readonly outfile: string;
	/**
	Whether names are kept long, for profiles that are read.
	*/
	readonly isReadable?: boolean;
};

const sources = path.resolve(import.meta.dirname, '../src');
const entries: Readonly<Record<BundleOptions['name'], string>> = {
	boot: 'binary-main.ts',
	gateway: 'gateway-chunk.ts',
	program: 'program-chunk.ts',
};

/**
Parts of the runtime that libraries ask for at their start, and that a gateway node uses rarely or never.
*/
const rareBuiltins = 'cluster|dgram|dns|https|module|perf_hooks|tls|tty|v8|worker_threads|zlib';

/**
Leaves out what a gateway node never uses of a library, and loads with its first use what it uses rarely.
*/
const smallLibraries: Plugin = {
	name: 'small-libraries',
	setup({onResolve, onLoad}) {
		/* eslint-disable require-unicode-regexp -- the bundler reads them in Go's form */
		onResolve({filter: /^undici$/}, () => ({path: path.join(import.meta.dirname, 'undici-parts.cjs')}));
		onResolve({filter: /client-h2\.js$/}, () => ({path: path.join(import.meta.dirname, 'no-http2.cjs')}));
		onResolve({filter: new RegExp(`^(?:node:)?(?:${rareBuiltins})$`)}, ({path: id, kind}) => kind === 'require-call' ? {path: id, namespace: 'rare-builtin'} : undefined);
		onLoad({filter: /^/, namespace: 'rare-builtin'}, ({path: id}) => ({
			contents: `module.exports = new Proxy({}, {get: (_target, key) => process.getBuiltinModule('${id}')[key]});`,
		}));
		/* eslint-enable require-unicode-regexp */
	},
};
const plugins: Readonly<Partial<Record<BundleOptions['name'], Plugin[]>>> = {gateway: [smallLibraries]};

/**
 Bundles a part of the program with its libraries into one file in CommonJS.

 @example
 await bundleChunk({name: 'gateway', outfile: 'dist/gateway.cjs'});
 */
export async function bundleChunk({name, outfile, isReadable = false}: BundleOptions): Promise<void> {
	await build({
		entryPoints: [path.join(sources, entries[name])],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node24',
		format: 'cjs',
		// Optional parts of libraries that are not used.
		external: ['unix-dgram', 'bufferutil', 'utf-8-validate'],
		minify: !isReadable,
		keepNames: true,
		logLevel: 'warning',
		plugins: plugins[name] ?? [],
	});
}
