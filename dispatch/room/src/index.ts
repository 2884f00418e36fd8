export type {HeldMemory} from './held-memory.ts';
export type {MemoryRoom} from './memory-room.ts';
export {predictMemory} from './predict-memory.ts';
export {predictPeak} from './predict-peak.ts';
export {predictRoom} from './predict-room.ts';
export {toHeldMemory} from './to-held-memory.ts';
