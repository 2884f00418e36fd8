import type {ArrivedRequest} from './arrived-request.ts';
import {formatHead} from './format-head.ts';

/**
 Formats a whole answer to a request.

 @example
 formatAnswer('200 OK', request, signature, 'the body');
 */
export function formatAnswer(status: string, request: Pick<ArrivedRequest, 'requestId'>, headers: Readonly<Record<string, string>>, body: string): string {
	return formatHead(status, request, {...headers, 'content-length': String(body.length)}) + body;
}
