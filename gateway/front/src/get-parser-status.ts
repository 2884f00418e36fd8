/**
Statuses of the parser's errors that are not plainly bytes that HTTP/1.1 does not allow.
*/
const statuses: ReadonlyMap<string, number> = new Map([
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['HPE_HEADER_OVERFLOW', 431],
]);

/**
 Gets the status for a request that the parser could not read.

 @example
 getParserStatus('HPE_HEADER_OVERFLOW'); // 431
 */
export function getParserStatus(code: string): number {
	return statuses.get(code) ?? 400;
}
