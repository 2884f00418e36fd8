import {decideAdmission} from '@valvesaddle/admission';
import type {Admitter} from './admitter.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {rankWaiter} from './rank-waiter.ts';
import {toShareRequest} from './to-share-request.ts';

/**
 Creates the admitter of one request. It records the caller's wait, from which the time spent on earlier attempts is estimated.

 @param options - Settings, wait baselines, logger and metrics.
 @param request - The request, with its whole body read.
 @param waitMs - Time until the request's deadline, from its arrival, in milliseconds.
 @example
 const admitter = createAdmitter(options, request, 6000);
 admitter.decide({costMs: 900, readMs: 50}, false).kind; // 'refuse'
 */
export function createAdmitter(options: Pick<ForwarderOptions, 'waits' | 'sharing' | 'admission' | 'room' | 'logger' | 'metrics'>, request: ForwardRequest, waitMs: number): Admitter {
	const {metadata, route} = request;
	const spentMs = metadata.waitMs === undefined ? 0 : options.waits.record(route.name, waitMs);
	const shareRequest = toShareRequest(request, spentMs > 0);
	options.sharing?.recordAsked(shareRequest);

	function getElapsedMs(): number {
		return spentMs + performance.now() - request.arrivedAt;
	}

	function planReturnMs(roomInMs: number): number {
		return options.room?.planReturnMs(rankWaiter(request, false), roomInMs) ?? roomInMs;
	}

	return {
		getElapsedMs,
		isInTime: costMs => costMs <= options.admission.lateFactor * (route.latencyObjectiveMs - getElapsedMs()),
		hasReturned: () => spentMs > 0,
		decide({costMs, readMs}, isTried, waiting) {
			// Waits are predicted for streams from model engines only. A retry after a failed endpoint keeps its urgency:
			// 8 of 9 such streams were answered then, and 14 of 53 that ranked behind others.
			const isPredicted = !isTried && request.isEnginePool && route.kind === 'stream';
			if (!isPredicted && waiting?.mustWait !== true) {
				return {kind: 'send'};
			}

			const elapsedMs = getElapsedMs();
			const unshared = decideAdmission({
				predictedMs: costMs, readMs, objectiveMs: route.latencyObjectiveMs, elapsedMs, isRetry: spentMs > 0, draw: Math.random(), ...(waiting && {waiting: {...waiting, planReturnMs}}),
			}, options.admission);
			const sharing = isPredicted ? options.sharing : undefined;
			const admission = sharing?.decide(shareRequest, {costMs, readMs, objectiveMs: route.latencyObjectiveMs}, unshared) ?? unshared;
			if (admission.kind !== 'send') {
				options.metrics.increment('gateway.admission', 1, {kind: admission.kind});
				options.logger.info({
					name: 'request-admission',
					request: metadata.requestId ?? '-',
					kind: admission.kind,
					predictedMs: Math.round(costMs),
					readMs: Math.round(readMs),
					objectiveMs: route.latencyObjectiveMs,
					elapsedMs: Math.round(elapsedMs),
				});
			}

			return admission;
		},
	};
}
