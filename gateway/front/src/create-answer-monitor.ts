import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Interruption} from '@valvesaddle/forwarding';
import type {AnswerMonitor} from './answer-monitor.ts';
import type {FrontOptions} from './front-options.ts';

const disconnected: Interruption = {endedBy: 'caller', cause: 'disconnected', reason: 'the caller closed its connection'};
const closed: Interruption = {endedBy: 'node', cause: 'closed', reason: 'the node closed the connection'};

/**
Code of writes that are cancelled because this process closes the connection.
*/
const cancelledCode = 'ECANCELED';

type OpenAnswer = {
	readonly request: IncomingMessage;
	readonly socket: Socket;
	readonly startedAt: number;
	/**
	Bytes that the connection had carried before this answer.
	*/
	readonly bytesBefore: number;
	interruption?: Interruption;
	/**
	Bytes that the system has not taken when the node ends the answer.
	*/
	bytesUnsent: number;
};

/**
 Creates the monitor of answers to callers.

 @example
 const monitor = createAnswerMonitor({logger, metrics, wire});
 monitor.add(request, response);
 */
export function createAnswerMonitor({logger, metrics, wire}: Pick<FrontOptions, 'logger' | 'metrics' | 'wire'>): AnswerMonitor {
	const open = new Map<ServerResponse, OpenAnswer>();

	function markInterrupted(response: ServerResponse, interruption: Interruption): void {
		const answer = open.get(response);
		if (answer === undefined) {
			return;
		}

		answer.interruption ??= interruption;
		answer.bytesUnsent = response.writableLength;
	}

	function recordIncomplete({request, socket, startedAt, bytesBefore, bytesUnsent, interruption}: OpenAnswer): void {
		const {endedBy, cause, reason} = interruption ?? (didCallerClose(socket) ? disconnected : closed);
		metrics.increment('gateway.incomplete-answers', 1, {by: endedBy, cause});
		logger.info({
			name: 'answer-incomplete',
			request: wire.readRequest(request.headers).requestId ?? '-',
			endedBy,
			cause,
			reason,
			bytesSent: Math.max(0, socket.bytesWritten - bytesBefore - bytesUnsent),
			bytesUnsent,
			elapsedMs: Math.round(performance.now() - startedAt),
		});
	}

	return {
		add(request, response) {
			const {socket} = request;
			const answer: OpenAnswer = {
				request, socket, startedAt: performance.now(), bytesBefore: socket.bytesWritten, bytesUnsent: 0,
			};
			open.set(response, answer);
			response.once('finish', () => {
				open.delete(response);
			});
			response.once('close', () => {
				if (open.delete(response)) {
					recordIncomplete(answer);
				}
			});
		},
		markInterrupted,
		markAllInterrupted(interruption) {
			for (const response of open.keys()) {
				markInterrupted(response, interruption);
			}
		},
	};
}

function didCallerClose({readableEnded, errored}: Socket): boolean {
	return readableEnded || (errored !== null && (errored as NodeJS.ErrnoException).code !== cancelledCode);
}
