import type {ArrivedRequest} from './arrived-request.ts';

type Head = Readonly<Record<string, string>>;

/**
 Formats the head of an answer to a request.

 @example
 formatHead('200 OK', request, {'content-length': '3'});
 */
export function formatHead(status: string, {requestId}: Pick<ArrivedRequest, 'requestId'>, headers: Head): string {
	const rows = Object.entries({'x-attempt-id': requestId, ...headers}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${rows.join('')}\r\n`;
}
