import type {EndpointBehaviour} from './endpoint-behaviour.ts';
import {formatAnswer} from './format-answer.ts';
import {formatHead} from './format-head.ts';
import {formatLimit} from './format-limit.ts';
import {formatStreamHead} from './format-stream-head.ts';
import {leavingMark} from './leaving-mark.ts';
import {notRunMark} from './not-run-mark.ts';
import {signature} from './signature.ts';

/**
Events of a whole stream.
*/
const events = 4;
/**
Size of a large answer in characters, and of an event of a large stream and their number.
*/
const largeLength = 7_500_000;
const largeEventLength = 60_000;
const largeEvents = 120;

function formatEvents(from: number, to: number, length = 0): string {
	let text = '';
	for (let id = from; id < to; id++) {
		const event = `id: ${id}\ndata: piece ${id}${'x'.repeat(length)}\n\n`;
		text += `${event.length.toString(16)}\r\n${event}\r\n`;
	}

	return text;
}

/**
Answers of endpoints that are well, that refuse, and that fail in every way the gateway has to tell apart.
*/
export const behaviours = {
	whole(request, socket) {
		socket.write(formatAnswer('200 OK', request, signature, `body of ${request.line}`));
	},
	notRun(request, socket) {
		socket.write(formatAnswer('503 Service Unavailable', request, notRunMark, ''));
	},
	/**
	Asks for no more requests for a time that no test outlasts.
	*/
	overloaded(request, socket) {
		socket.write(formatAnswer('503 Service Unavailable', request, {...notRunMark, 'retry-after': '200'}, ''));
	},
	/**
	Answers, and says that it is leaving.
	*/
	leaving(request, socket) {
		socket.write(formatAnswer('200 OK', request, {...signature, ...leavingMark}, `body of ${request.line}`));
	},
	/**
	The same in an answer to a request that was never sent to it.
	*/
	leavingOther(_request, socket) {
		socket.write(formatAnswer('200 OK', {requestId: 'other'}, {...signature, ...leavingMark}, ''));
	},
	/**
	Answers, and names a limit that no test outlasts.
	*/
	limited(request, socket) {
		socket.write(formatAnswer('200 OK', request, {...signature, ...formatLimit(0.01)}, `body of ${request.line}`));
	},
	unreadableLimit(request, socket) {
		socket.write(formatAnswer('200 OK', request, {...signature, 'server-limit': 'few'}, `body of ${request.line}`));
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
	/**
	A rejection that no endpoint vouches for: of a process that has taken over the address, say.
	*/
	unsignedRejection(request, socket) {
		socket.write(formatAnswer('404 Not Found', request, {}, 'no such path'));
	},
	unsignedRedirect(request, socket) {
		socket.write(formatAnswer('302 Found', request, {location: '/elsewhere/'}, ''));
	},
	/**
	What the HTTP server of any process says of bytes that it cannot read; it names no request.
	*/
	bareRejection(_request, socket) {
		socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
	},
	rejected(request, socket) {
		socket.write(formatAnswer('404 Not Found', request, signature, 'nothing of that name'));
	},
	unsigned(request, socket) {
		socket.write(formatAnswer('200 OK', request, {}, 'not vouched for'));
	},
	encoded(request, socket) {
		socket.write(formatAnswer('200 OK', request, {...signature, 'content-encoding': 'gzip'}, 'zip'));
	},
	otherRequest(request, socket) {
		socket.write(formatAnswer('200 OK', {requestId: 'other'}, signature, 'of another'));
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
	/**
	More than the buffers of a connection hold.
	*/
	large(request, socket) {
		socket.write(formatAnswer('200 OK', request, signature, 'x'.repeat(largeLength)));
	},
	/**
	Answers only once it is told to go on.
	*/
	async late(request, socket, resumed) {
		await resumed;
		socket.write(formatAnswer('200 OK', request, signature, `body of ${request.line}`));
	},
	/**
	An event, and the others once it is told to go on.
	*/
	async pausingStream(request, socket, resumed) {
		const from = request.lastEventId + 1;
		socket.write(formatStreamHead(request) + formatEvents(from, from + 1));
		await resumed;
		socket.write(`${formatEvents(from + 1, events)}0\r\n\r\n`);
	},
	largeStream(request, socket) {
		const from = request.lastEventId + 1;
		socket.write(`${formatStreamHead(request) + formatEvents(from, largeEvents, largeEventLength)}0\r\n\r\n`);
	},
	stream(request, socket) {
		const from = request.lastEventId + 1;
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
