/**
Parts of the program that are bundled and loaded alone.
*/
export type ChunkName = 'gateway' | 'program';
