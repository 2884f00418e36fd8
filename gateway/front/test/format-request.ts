/**
 Formats a request with a complete head and the given further headers and body.

 @example
 formatRequest('GET', ['Connection: close']);
 */
export function formatRequest(method = 'GET', headers: readonly string[] = [], body = ''): string {
	const lines = [`${method} /any/x HTTP/1.1`, 'Host: permits.example', 'X-Attempt-Id: a1', ...headers];
	return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
