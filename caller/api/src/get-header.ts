import type {IncomingMessage} from 'node:http';

/**
 Gets a header of a request; `undefined` when it is missing or empty.

 @example
 getHeader(request, 'idempotency-key'); // 'permit-77'
 */
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	const first = Array.isArray(value) ? value[0] : value;
	return first === undefined || first === '' ? undefined : first;
}
