import process from 'node:process';
import {Script} from 'node:vm';
import type {Chunk} from './chunk.ts';

type LoadOptions = {
	readonly name: string;
	/**
	The chunk's bundle, in CommonJS.
	*/
	readonly source: string;
	/**
	Code compiled before from the same source, with the same runtime and flags; another is passed over.
	*/
	readonly cachedData: Uint8Array | undefined;
};

type LoadedChunk = {
	readonly chunk: Chunk;
	/**
	The code compiled so far.
	*/
	readonly createCache: () => Uint8Array;
};

type ChunkModule = {
	exports: Chunk;
};

type Require = (id: string) => unknown;

/**
 Loads a part of the program from its bundle.

 @example
 const {chunk} = readChunk({name: 'gateway', source, cachedData: undefined});
 await chunk.run(['gateway']);
 */
export function readChunk({name, source, cachedData}: LoadOptions): LoadedChunk {
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
A bundle holds its libraries; what it still asks for is the runtime's, or an optional part that is left out.
*/
function getBuiltin(id: string): unknown {
	const found = process.getBuiltinModule(id) as unknown;
	if (found === undefined) {
		throw Object.assign(new TypeError(`${id} is not part of the program`), {code: 'MODULE_NOT_FOUND'});
	}

	return found;
}
