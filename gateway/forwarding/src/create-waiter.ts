import type {Waiter} from '@valvesaddle/waiting-room';
import type {Admitter} from './admitter.ts';
import type {ForwardRequest} from './forward-request.ts';
import {rankWaiter} from './rank-waiter.ts';

type WaiterOptions = Pick<Waiter, 'isPromised' | 'latestAt' | 'getRoomInMs' | 'send' | 'onWithdrawn'> & {
	readonly request: ForwardRequest;
	readonly admitter: Pick<Admitter, 'hasReturned' | 'getElapsedMs'>;
	/**
	Predicted time that an endpoint reads its prompt, in milliseconds.
	*/
	readonly readMs: number;
	readonly isLate: boolean;
	/**
	Whether it waits for the retry budget; it does not keep the others of its class from being sent.
	*/
	readonly isRetryMissing: boolean;
};

/**
Part of the objective that a prompt's own reading counts at most, so that a long prompt may wait as well.
*/
const longestReadShare = 0.5;

/**
 Describes a request to the waiting room.

 @example
 const leave = room.enter(createWaiter({request, admitter, readMs: 80, isLate: false, isRetryMissing: false, isPromised: false, getRoomInMs, send, onWithdrawn}));
 */
export function createWaiter({request, admitter, readMs, isLate, isRetryMissing, ...handlers}: WaiterOptions): Waiter {
	const {metadata, route, body} = request;
	const turn = rankWaiter(request, isLate);
	return {
		...handlers,
		...turn,
		className: isRetryMissing ? `${turn.className} again` : turn.className,
		requestId: metadata.requestId ?? '-',
		route: route.name,
		arrivedAt: request.arrivedAt,
		objectiveMs: route.latencyObjectiveMs,
		objectiveAt: performance.now() + route.latencyObjectiveMs - admitter.getElapsedMs(),
		serviceMs: Math.min(readMs, longestReadShare * route.latencyObjectiveMs),
		hasReturned: admitter.hasReturned(),
		bytes: body?.length ?? 0,
		tokens: metadata.promptTokens + metadata.outputTokens,
	};
}
