import type {ReturnInput} from './return-input.ts';

/**
 Plans when a refused caller comes back: when room is predicted to come free, after those that were refused before it, each in an
 interval of its own. Callers beyond the longest time share its second half.

 @example
 planReturn({now: 0, roomInMs: 500, intervalMs: 40, lastAt: 700, mostMs: 5000, draw: 0}); // 740
 */
export function planReturn({now, roomInMs, intervalMs, lastAt, mostMs, draw}: ReturnInput): number {
	const at = Math.max(now + roomInMs, lastAt + intervalMs) + (draw * intervalMs);
	const latest = now + mostMs;
	return at <= latest ? at : latest - (draw * mostMs / 2);
}
