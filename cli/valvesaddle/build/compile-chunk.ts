/**
 Loads a bundle, warms it up, and writes V8's code cache. Must run with the V8 flags of the binary; V8 rejects a cache made with others.

 Arguments: name of the chunk, file of the bundle, output file of the cache, folder for settings files.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import type {Chunk} from '../src/chunk.ts';
import {readChunk} from '../src/read-chunk.ts';
import {warmUpGateway} from './warm-up-gateway.ts';

const warmUps: Readonly<Record<string, (chunk: Chunk, folder: string) => Promise<void>>> = {gateway: warmUpGateway};

const [name = '', bundle = '', cacheFile = '', folder = ''] = process.argv.slice(2);
const {chunk, createCache} = readChunk({name, source: readFileSync(bundle, 'latin1'), cachedData: undefined});
try {
	await warmUps[name]?.(chunk, folder);
} catch (error) {
	// The binary works without a warm cache: missing functions are compiled at each start.
	console.warn(`the bundle ${name} could not be warmed up:`, error);
}

writeFileSync(cacheFile, createCache());
process.exit();
