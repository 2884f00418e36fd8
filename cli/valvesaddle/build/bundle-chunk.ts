import path from 'node:path';
import {build, type Plugin} from 'esbuild';
import type {ChunkName} from '../src/chunk-name.ts';

type BundleOptions = {
	readonly name: ChunkName | 'boot';
	readonly outfile: string;
	/**
	Whether the bundle is not minified, for profiles.
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
Built-in modules that libraries import at startup, but a gateway node uses rarely or never.
*/
const rareBuiltins = 'cluster|dgram|dns|https|module|perf_hooks|tls|tty|v8|worker_threads|zlib';

/**
Drops the parts of libraries that a gateway node never uses, and loads rarely used built-in modules lazily.
*/
const smallLibraries: Plugin = {
	name: 'small-libraries',
	setup({onResolve, onLoad}) {
		/* eslint-disable require-unicode-regexp -- esbuild uses Go's regular expressions */
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
 Bundles a chunk of the program with its dependencies into one CommonJS file.

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
		// Optional dependencies that are not installed.
		external: ['unix-dgram', 'bufferutil', 'utf-8-validate'],
		minify: !isReadable,
		keepNames: true,
		logLevel: 'warning',
		plugins: plugins[name] ?? [],
	});
}
