import type {ArrivedRequest} from './arrived-request.ts';
import type {EndpointBehaviour} from './endpoint-behaviour.ts';

type Head = Readonly<Record<string, string>>;

const signature = {'x-response-seal': 'seal'};
/**
Events of a whole stream.
*/
const events = 4;

function formatHead(status: string, request: ArrivedRequest, headers: Head): string {
	const rows = Object.entries({'x-attempt-id': request.headers.get('x-attempt-id') ?? '', ...headers}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${rows.join('')}\r\n`;
}

function formatAnswer(status: string, request: ArrivedRequest, headers: Head, body: string): string {
	return formatHead(status, request, {...headers, 'content-length': String(body.length)}) + body;
}

function formatEvents(from: number, to: number): string {
	let text = '';
	for (let id = from; id < to; id++) {
		const event = `id: ${id}\ndata: piece ${id}\n\n`;
		text += `${event.length.toString(16)}\r\n${event}\r\n`;
	}

	return text;
}

function formatStreamHead(request: ArrivedRequest): string {
	return formatHead('200 OK', request, {...signature, 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked'});
}

/**
Answers of endpoints that are well, that refuse, and that fail in every way the gateway has to tell apart.
*/
export const behaviours = {
	whole(request, socket) {
		socket.write(formatAnswer('200 OK', request, signature, `body of ${request.line}`));
	},
	notRun(request, socket) {
		socket.write(formatAnswer('503 Service Unavailable', request, {'x-not-executed': '1'}, ''));
	},
	misdirected(request, socket) {
		socket.write(formatAnswer('421 Misdirected Request', request, {}, ''));
	},
	/**
	A 503 without the mark promises nothing.
	*/
	unmarkedRefusal(request, socket) {
		socket.write(formatAnswer('503 Service Unavailable', request, signature, ''));
	},
	failed(request, socket) {
		socket.write(formatAnswer('500 Internal Server Error', request, signature, 'failed'));
	},
	unsigned(request, socket) {
		socket.write(formatAnswer('200 OK', request, {}, 'not vouched for'));
	},
	encoded(request, socket) {
		socket.write(formatAnswer('200 OK', request, {...signature, 'content-encoding': 'gzip'}, 'zip'));
	},
	otherRequest(request, socket) {
		socket.write(formatAnswer('200 OK', {...request, headers: new Map([['x-attempt-id', 'other']])}, signature, 'of another'));
	},
	/**
	A second answer follows at once.
	*/
	twice(request, socket) {
		socket.write(formatAnswer('200 OK', request, signature, 'first') + formatAnswer('200 OK', request, signature, 'second'));
	},
	truncated(request, socket) {
		socket.end(formatHead('200 OK', request, {...signature, 'content-length': '100'}) + 'part');
	},
	/**
	An answer without length that ends with its connection.
	*/
	unframed(request, socket) {
		socket.end(formatHead('200 OK', request, {...signature, connection: 'close'}) + 'whole to the end');
	},
	/**
	An answer without length whose connection is reset within it.
	*/
	unframedReset(request, socket) {
		socket.write(formatHead('200 OK', request, {...signature, connection: 'close'}) + 'part', () => {
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		});
	},
	reset(_request, socket) {
		socket.resetAndDestroy();
	},
	silent() {
		// Never answers.
	},
	stream(request, socket) {
		const from = Number(request.headers.get('last-event-id') ?? -1) + 1;
		socket.write(`${formatStreamHead(request) + formatEvents(from, events)}0\r\n\r\n`);
	},
	/**
	Two events and a half, then the connection breaks.
	*/
	brokenStream(request, socket) {
		const half = 'id: 2\nda';
		socket.write(`${formatStreamHead(request) + formatEvents(0, 2) + half.length.toString(16)}\r\n${half}\r\n`, () => {
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		});
	},
} as const satisfies Readonly<Record<string, EndpointBehaviour>>;
