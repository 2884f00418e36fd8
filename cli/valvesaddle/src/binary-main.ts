/**
 What the binary runs first: it loads the part of the program that the command needs, with the code compiled at build time.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {getRawAsset} from 'node:sea';
import {chooseChunk} from './choose-chunk.ts';
import {readChunk} from './read-chunk.ts';

const words = process.argv.slice(2);
const name = chooseChunk(words);
const {chunk} = readChunk({
	name,
	source: Buffer.from(getRawAsset(`${name}.cjs`)).toString('latin1'),
	cachedData: Buffer.from(getRawAsset(`${name}.cache`)),
});
// The binary's first script is in CommonJS, which knows no await at the top.
void chunk.run(words).then(code => {
	process.exit(code);
});
