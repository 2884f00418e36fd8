export type {ChunkMeter} from './chunk-meter.ts';
export type {ChunkPacer} from './chunk-pacer.ts';
export type {ChunkPacerOptions} from './chunk-pacer-options.ts';
export type {ChunkSource} from './chunk-source.ts';
export {createChunkPacer} from './create-chunk-pacer.ts';
