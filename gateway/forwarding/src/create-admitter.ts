import {decideAdmission} from '@valvesaddle/admission';
import type {Admitter} from './admitter.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';

/**
 Creates the admitter of one request. It notes the request's wait, and what of the usual one its caller has spent before.

 @param options - Settings, table of usual waits, lines and figures.
 @param request - What is to be admitted, read in full.
 @param waitMs - How long the caller waits, in milliseconds.
 @example
 const admitter = createAdmitter(options, request, 6000);
 admitter.decide({costMs: 900, readMs: 50}, false).kind; // 'refuse'
 */
export function createAdmitter(options: Pick<ForwarderOptions, 'waits' | 'admission' | 'logger' | 'metrics'>, request: ForwardRequest, waitMs: number): Admitter {
	const {metadata: facts, route} = request;
	const spentMs = facts.waitMs === undefined ? 0 : options.waits.record(route.name, waitMs);

	return {
		decide({costMs, readMs}, isTried) {
			// Only model engines read prompts, so that a wait there can be predicted. What an endpoint lost goes on at its own
			// rank: in three played days 8 of 9 such streams were answered, and 14 of 53 that went behind others.
			if (isTried || !request.isEnginePool || route.kind !== 'stream') {
				return {kind: 'send'};
			}

			const elapsedMs = spentMs + performance.now() - request.arrivedAt;
			const admission = decideAdmission({
				predictedMs: costMs, readMs, objectiveMs: route.latencyObjectiveMs, elapsedMs, isRepeat: spentMs > 0, draw: Math.random(),
			}, options.admission);
			if (admission.kind !== 'send') {
				options.metrics.increment('gateway.admission', 1, {kind: admission.kind});
				options.logger.info({
					name: 'request-admission',
					request: facts.requestId ?? '-',
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
