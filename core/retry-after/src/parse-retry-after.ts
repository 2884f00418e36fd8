const msPerSecond = 1000;
const secondsPattern = /^\d+(?:\.\d+)?$/v;

/**
 Reads the `Retry-After` header of a refusal (RFC 9110, section 10.2.3), in milliseconds. A header that is repeated counts with its
 longest time; one that is no number of seconds counts as none.

 @example
 parseRetryAfter('1.5'); // 1500
 parseRetryAfter('soon'); // undefined
 */
export function parseRetryAfter(header: string | readonly string[] | undefined): number | undefined {
	const texts = typeof header === 'string' ? [header] : header ?? [];
	const times = texts
		.map(text => text.trim())
		.filter(text => secondsPattern.test(text))
		.map(text => Number(text) * msPerSecond)
		.filter(time => Number.isFinite(time));
	return times.length === 0 ? undefined : Math.max(...times);
}
