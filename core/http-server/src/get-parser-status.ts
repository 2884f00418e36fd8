/**
Statuses of parser errors other than malformed HTTP/1.1.
*/
const statuses: ReadonlyMap<string, number> = new Map([
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['HPE_HEADER_OVERFLOW', 431],
]);

/**
 Gets the HTTP status for a request that could not be parsed.

 @example
 getParserStatus('HPE_HEADER_OVERFLOW'); // 431
 */
export function getParserStatus(code: string): number {
	return statuses.get(code) ?? 400;
}
