import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {SelectorOptions} from '@valvesaddle/selection';
import type {GatewaySettings} from '@valvesaddle/settings';
import {createEjectionRecorder} from './create-ejection-recorder.ts';

type SelectorTools = {
	readonly logger: Logger;
	readonly metrics: Metrics;
};

const msPerSecond = 1000;
const bytesPerKb = 1000;

/**
 Converts a node's settings to the options of its selector, which records what it reports.

 @example
 const selector = createSelector({...toSelectorOptions(settings, {logger, metrics}), fleet});
 */
export function toSelectorOptions({selection, buffers}: GatewaySettings, {logger, metrics}: SelectorTools): SelectorOptions {
	return {
		largeBodies: buffers && {largeBytes: buffers.large_kb * bytesPerKb, most: buffers.large_bodies},
		interferenceWeight: selection.harm_weight,
		riskWeight: selection.risk_weight,
		reuseMs: selection.reuse_s * msPerSecond,
		rereadMsPerToken: selection.reread_ms_per_token,
		isRereadByRate: selection.reread_by_rate,
		prefillTokensPerMs: selection.prefill_tokens_per_ms,
		reservedShare: selection.reserved_share,
		onReserved(pool, reserved, streams) {
			metrics.gauge('gateway.reserved-endpoints', reserved, {pool});
			logger.info({
				name: 'endpoints-reserved', pool, reserved, streams,
			});
		},
		isMemoryPredicted: selection.memory_room,
		onImpossibleMemory({node, incarnation, toldTokens, keptTokens}) {
			metrics.increment('gateway.impossible-memory');
			logger.warn({
				name: 'impossible-memory', node, endpoint: incarnation, toldTokens, keptTokens,
			});
		},
		isEvidenceShared: selection.shared_evidence,
		isPlainPaced: selection.plain_pace,
		onEjection: createEjectionRecorder({logger, metrics}),
	};
}
