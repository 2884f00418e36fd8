type EjectionTimes = {
	/**
	Ejections of the endpoint before this one, without a return to service between them.
	*/
	readonly ejections: number;
	readonly firstMs: number;
	readonly maximumMs: number;
};

/**
 Time for which an endpoint is ejected, in milliseconds: each consecutive ejection lasts twice as long, up to a maximum.

 @example
 predictEjectionMs({ejections: 2, firstMs: 1000, maximumMs: 4000}); // 4000
 */
export function predictEjectionMs({ejections, firstMs, maximumMs}: EjectionTimes): number {
	return Math.min(maximumMs, firstMs * (2 ** ejections));
}
