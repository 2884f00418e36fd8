import process from 'node:process';
import {Script} from 'node:vm';
import type {Chunk} from './chunk.ts';

type ReadChunkOptions = {
	readonly name: string;
	/**
	The chunk's CommonJS bundle.
	*/
	readonly source: string;
	/**
	V8 code cache of the same source, runtime and flags; any other is ignored.
	*/
	readonly cachedData: Uint8Array | undefined;
};

type LoadedChunk = {
	readonly chunk: Chunk;
	/**
	Creates a code cache of the functions compiled so far.
	*/
	readonly createCache: () => Uint8Array;
};

type ChunkModule = {
	exports: Chunk;
};

type Require = (id: string) => unknown;

/**
 Loads a chunk of the program from its bundle.

 @example
 const {chunk} = readChunk({name: 'gateway', source, cachedData: undefined});
 await chunk.run(['gateway']);
 */
export function readChunk({name, source, cachedData}: ReadChunkOptions): LoadedChunk {
	const script = new Script(`(function (exports, require, module) {${source}\n})`, {filename: `${name}.cjs`, ...(cachedData && {cachedData})});
	const define = script.runInThisContext() as (exports: unknown, require: Require, module: ChunkModule) => void;
	const module: ChunkModule = {exports: {run: failRun}};
	define(module.exports, getBuiltin, module);
	return {chunk: module.exports, createCache: () => script.createCachedData()};
}

async function failRun(): Promise<number> {
	throw new TypeError('the bundle exports no command');
}

/**
Resolves imports that are not in the bundle: built-in modules, or optional dependencies, which are missing.
*/
function getBuiltin(id: string): unknown {
	const found = process.getBuiltinModule(id) as unknown;
	if (found === undefined) {
		throw Object.assign(new TypeError(`${id} is not part of the program`), {code: 'MODULE_NOT_FOUND'});
	}

	return found;
}
