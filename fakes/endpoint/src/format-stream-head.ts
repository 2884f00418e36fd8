import type {ArrivedRequest} from './arrived-request.ts';
import {formatHead} from './format-head.ts';
import {signature} from './signature.ts';

/**
 Formats the head of a stream of events, which come in chunks.

 @example
 formatStreamHead(request);
 */
export function formatStreamHead(request: Pick<ArrivedRequest, 'requestId'>, headers: Readonly<Record<string, string>> = {}): string {
	return formatHead('200 OK', request, {
		...signature, ...headers, 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked',
	});
}
