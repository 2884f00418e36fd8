const msPerSecond = 1000;
const secondsPattern = /^\d+(?:\.\d+)?$/v;

/**
 Parses a `Retry-After` header (RFC 9110, section 10.2.3), in milliseconds. Of a repeated header the longest delay counts. Values
 that are no number of seconds, such as dates, are ignored.

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
