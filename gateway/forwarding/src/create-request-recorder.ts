import {createChunkTimer} from './create-chunk-timer.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import type {RequestRecorder} from './request-recorder.ts';

/**
 Creates the recorder of one request.

 @example
 const recorder = createRequestRecorder(options, request, crashes.getDigest);
 recorder.recordEnd('answered', 200, {attempts: 1, runs: 1});
 */
export function createRequestRecorder({logger, metrics}: Pick<ForwarderOptions, 'logger' | 'metrics'>, request: ForwardRequest, getDigest: () => string): RequestRecorder {
	const {metadata, route, pool} = request;
	const id = metadata.requestId ?? '-';
	const chunkTimer = createChunkTimer(request.arrivedAt, metrics);

	return {
		recordSent({endpoint, costMs, heldTokens, harmMs, urgency, candidates, newsAgeMs, unseenFactor, memoryTokens, roomInMs}, attempt, remainingMs) {
			if (roomInMs > 0) {
				metrics.increment('gateway.no-room', 1, {pool});
			}

			logger.info({
				name: 'request-sent',
				request: id,
				endpoint: endpoint.id,
				pool,
				attempt,
				version: request.version,
				candidates,
				costMs: Math.round(costMs),
				harmMs: Math.round(harmMs),
				heldTokens,
				unreadTokens: metadata.promptTokens - heldTokens,
				urgency,
				memoryTokens: Math.round(memoryTokens),
				roomInMs: Math.round(roomInMs),
				remainingMs: Math.round(remainingMs),
				newsAgeMs,
				unseenFactor: Math.round(unseenFactor * 10) / 10,
			});
		},
		recordNotice(endpoint, status, {retryAfterMs, isLeaving}) {
			metrics.increment('gateway.endpoint-notices', 1, {kind: isLeaving ? 'leaving' : 'retry-after'});
			logger.info({
				name: 'endpoint-notice', request: id, endpoint: endpoint.id, status, retryAfterMs, isLeaving,
			});
		},
		recordLimit(endpoint, limit) {
			metrics.increment('gateway.endpoint-limits', 1, {kind: typeof limit === 'number' ? 'named' : limit ?? 'removed'});
			logger.info({
				name: 'endpoint-limit', request: id, endpoint: endpoint.id, limit,
			});
		},
		recordSlowed(endpoint) {
			metrics.increment('gateway.slowed', 1, {kind: 'answer'});
			logger.info({name: 'answer-slowed', request: id, endpoint: endpoint.id});
		},
		recordRestCut(endpoint, {status, body}, reason) {
			metrics.increment('gateway.rests-cut');
			logger.info({
				name: 'rest-cut', request: id, endpoint: endpoint.id, status, bytes: body.countBytes(), reason,
			});
		},
		recordFailure({cause, reason, mayHaveRun}, {endpoint, attempt}, denial, {retries, allowed}) {
			metrics.increment(denial === undefined ? 'gateway.retries' : 'gateway.given-up', 1, {cause});
			logger.info({
				name: 'attempt-failed', request: id, digest: mayHaveRun ? getDigest() : '-', endpoint, attempt, cause, reason, mayHaveRun, isRetried: denial === undefined, denial, retries, allowedRetries: Math.floor(allowed),
			});
		},
		recordKept({cause, reason}, attempt, denial, {retries, allowed}) {
			metrics.increment('gateway.kept-attempts', 1, {cause, denial});
			logger.info({
				name: 'attempt-kept', request: id, attempt, cause, reason, denial, retries, allowedRetries: Math.floor(allowed),
			});
		},
		recordReverted(attempt, failure) {
			metrics.increment('gateway.reverted-moves', 1, {cause: failure?.cause ?? 'progress'});
			logger.info({
				name: 'move-reverted', request: id, attempt, cause: failure?.cause ?? 'progress', reason: failure?.reason ?? 'the former endpoint answers',
			});
		},
		recordNoEndpoint(attempts, cooldownMs) {
			logger.info({
				name: 'no-endpoint', request: id, pool, tries: attempts, cooldownMs: Math.round(cooldownMs),
			});
		},
		recordChunk: chunkTimer.record,
		recordEnd(outcome, status, {attempts, runs}) {
			const elapsedMs = Math.round(performance.now() - request.arrivedAt);
			metrics.increment('gateway.ended', 1, {outcome});
			metrics.timing('gateway.total', elapsedMs);
			logger.info({
				name: 'request-ended', request: id, route: route.name, outcome, status, elapsedMs,
				firstByteMs: chunkTimer.firstMs(), longestPauseMs: chunkTimer.longestPauseMs(), pieces: chunkTimer.chunks(), tries: attempts, runs,
			});
		},
	};
}
