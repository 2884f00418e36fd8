import type {BufferLimits} from './buffer-limits.ts';

/**
No limits: everything is held, and an endpoint is paused while its caller does not read.
*/
export const unlimitedBuffers: BufferLimits = {
	limitBytes: Infinity, pressureShare: 1, accountShare: 1, waitMs: 0, aheadBytes: 0, unreadMs: Infinity, stuckMs: Infinity,
};
