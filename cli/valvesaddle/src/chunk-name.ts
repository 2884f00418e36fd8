/**
Chunks of the program, bundled and loaded separately.
*/
export type ChunkName = 'gateway' | 'program';
