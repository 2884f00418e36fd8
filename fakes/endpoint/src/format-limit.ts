/**
 Formats the header by which an endpoint names the requests per second that it accepts from all nodes together.

 @example
 formatLimit(3.2); // {'server-limit': '3.2'}
 */
export function formatLimit(perSecond: number): Readonly<Record<string, string>> {
	return {'server-limit': String(perSecond)};
}
