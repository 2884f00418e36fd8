import type {ServerResponse} from 'node:http';
import type {ByteLedger} from '@valvesaddle/buffers';
import {ValvesaddleError} from '@valvesaddle/error';
import {rankUrgency, type ForwardRequest} from '@valvesaddle/forwarding';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {HeldRequest} from './held-request.ts';
import type {UnreadAnswer} from './unread-answer.ts';
import type {UnreadWatch} from './unread-watch.ts';
import {withHeldBytes} from './with-held-bytes.ts';

type HeldRequestOptions = {
	readonly ledger: ByteLedger;
	readonly watch: UnreadWatch;
	readonly head: Omit<ForwardRequest, 'body'>;
	readonly response: ServerResponse;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Shortest Retry-After of a refused body, in milliseconds; it is spread over as much again.
*/
const minimumRetryMs = 300;

/**
 Opens the account of a request's held bytes. It is closed with the response.

 @example
 const {room} = openHeldRequest({ledger, watch, head, response, logger, metrics});
 await room.acquire(4096);
 */
export function openHeldRequest({ledger, watch, head, response, logger, metrics}: HeldRequestOptions): HeldRequest {
	const {route, account, metadata} = head;
	const requestId = metadata.requestId ?? '-';
	const accountName = account?.name ?? '';
	const hold = ledger.open(accountName, rankUrgency(route, account, false));
	let unread: UnreadAnswer | undefined;
	response.once('close', () => {
		hold.release();
		if (unread !== undefined) {
			watch.remove(unread);
		}
	});

	function buildRefusal(bytes: number): ValvesaddleError {
		metrics.increment('gateway.held-refused');
		logger.info({
			name: 'body-refused', request: requestId, account: accountName, bytes, heldBytes: ledger.countBytes(), waiting: ledger.countWaiting(),
		});
		const retryAfterMs = Math.max(minimumRetryMs, ledger.limits.waitMs) * (1 + Math.random());
		return new ValvesaddleError('ERR_VALVESADDLE_BUFFERS_FULL', `no room for ${bytes} bytes`, {retryAfterMs});
	}

	return {
		hold,
		room: {
			async acquire(bytes) {
				const isHeld = await hold.acquireBody(bytes);
				if (!isHeld && !response.destroyed) {
					throw buildRefusal(bytes);
				}
			},
			grow(bytes) {
				if (!hold.hasRoom(bytes - hold.count('body'))) {
					throw buildRefusal(bytes);
				}

				hold.set('body', bytes);
			},
		},
		watchReply(reply, fail) {
			const answer: UnreadAnswer = {
				requestId,
				account: accountName,
				hold,
				deadlineAt: head.arrivedAt + Math.min(route.timeoutMs, metadata.waitMs ?? Infinity),
				findSocket: () => response.socket ?? undefined,
				countUnsent: () => response.writableLength + reply.countGathered(),
				end(reason) {
					fail({endedBy: 'node', cause: 'unread', reason});
				},
			};
			unread = answer;
			return withHeldBytes(reply, () => {
				watch.update(answer);
			});
		},
	};
}
