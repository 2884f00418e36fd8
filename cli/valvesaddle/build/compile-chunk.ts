/**
 Loads a bundle, uses it, and writes the code that the runtime has compiled by then. Run with the binary's flags: code compiled
 under others is not taken.

 Words: the bundle's name, its file, the file for the code, a folder for settings.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import type {Chunk} from '../src/chunk.ts';
import {readChunk} from '../src/read-chunk.ts';
import {warmUpGateway} from './warm-up-gateway.ts';

const uses: Readonly<Record<string, (chunk: Chunk, folder: string) => Promise<void>>> = {gateway: warmUpGateway};

const [name = '', bundle = '', cacheFile = '', folder = ''] = process.argv.slice(2);
const {chunk, createCache} = readChunk({name, source: readFileSync(bundle, 'latin1'), cachedData: undefined});
try {
	await uses[name]?.(chunk, folder);
} catch (error) {
	// The binary works without: its nodes compile at each start what is missing.
	console.warn(`the bundle ${name} could not be warmed up:`, error);
}

writeFileSync(cacheFile, createCache());
process.exit();
