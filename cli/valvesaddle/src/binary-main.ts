/**
 Entry point of the binary: loads the chunk that the command needs, with its code cache.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {getRawAsset} from 'node:sea';
import {chooseChunk} from './choose-chunk.ts';
import {readChunk} from './read-chunk.ts';

const argv = process.argv.slice(2);
const name = chooseChunk(argv);
const {chunk} = readChunk({
	name,
	source: Buffer.from(getRawAsset(`${name}.cjs`)).toString('latin1'),
	cachedData: Buffer.from(getRawAsset(`${name}.cache`)),
});
// The entry point of the binary is CommonJS, which has no top-level await.
void chunk.run(argv).then(code => {
	process.exit(code);
});
