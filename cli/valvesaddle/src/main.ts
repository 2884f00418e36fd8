import process from 'node:process';
import {chooseChunk} from './choose-chunk.ts';
import type {Chunk} from './chunk.ts';
import type {ChunkName} from './chunk-name.ts';

const chunks: Readonly<Record<ChunkName, () => Promise<Chunk>>> = {
	gateway: async () => import('./gateway-chunk.ts'),
	program: async () => import('./program-chunk.ts'),
};

const argv = process.argv.slice(2);
const {run} = await chunks[chooseChunk(argv)]();
process.exit(await run(argv));
