import type {HeldMemory} from '@valvesaddle/room';

/**
Memory that a granted request holds at its endpoint from its grant on.
*/
export type MemoryClaim = HeldMemory & {
	/**
	In milliseconds on the monotonic clock.
	*/
	readonly grantedAt: number;
};
