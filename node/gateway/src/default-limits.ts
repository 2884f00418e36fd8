import type {CallerLimits} from '@valvesaddle/gateway-types';

/**
Limits for callers until a configuration is available.
*/
export const defaultLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
