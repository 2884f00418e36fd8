import {compareSequences} from './compare-sequences.ts';
import type {EngineProfile} from './engine-profile.ts';
import type {LeftRequest} from './left-request.ts';
import type {LeftRequests} from './left-requests.ts';
import {measurePrefill} from './measure-prefill.ts';
import type {Sequence} from './sequence.ts';
import type {Step} from './step.ts';

type Entry = {
	readonly sequence: Sequence;
	readonly request: LeftRequest;
	isRunning: boolean;
	/**
	Time that the request's own prefill would have added to the steps of the engine, in milliseconds.
	*/
	delayMs: number;
};

/**
 Creates the requests that were removed from an engine. Each keeps its place among the engine's requests and is given the prefill
 tokens that those before it leave. The time that its own prefill adds delays only itself, so it ends no later than if it had stayed
 and often a little sooner.

 @example
 const left = createLeftRequests(profile);
 left.add(sequence, true, {onRemoved() {}, onEnd(delayMs) {}});
 left.advance(step);
 */
export function createLeftRequests(profile: EngineProfile): LeftRequests {
	let entries: Entry[] = [];

	function measureOwnPrefill({job, pendingPrefill}: Sequence, tokens: number): number {
		return measurePrefill(profile, tokens, job.promptTokens - pendingPrefill);
	}

	function canAdmit(sequence: Sequence, before: readonly Sequence[], {running, inUse}: Step): boolean {
		return before.length < profile.slots && (running.length === 0 || inUse + sequence.job.promptTokens <= profile.cacheTokens);
	}

	function startPrefill(sequence: Sequence, {cached}: Step): void {
		let cachedTokens = 0;
		for (const {id, tokens} of sequence.job.shared) {
			if (!cached.has(id)) {
				break;
			}

			cachedTokens += tokens;
		}

		sequence.pendingPrefill = Math.max(1, sequence.job.promptTokens - cachedTokens);
	}

	function advancePrefill(entry: Entry, budget: number, slowness: number): void {
		const {sequence} = entry;
		const tokens = Math.min(sequence.pendingPrefill, Math.max(0, budget));
		entry.delayMs += measureOwnPrefill(sequence, tokens) * slowness;
		sequence.pendingPrefill -= tokens;
	}

	function countAllTokens({events, firstEvent}: Sequence['job']): number {
		return ((events - firstEvent - 1) * profile.tokensPerEvent) + 1;
	}

	function advanceEntry(entry: Entry, step: Step): void {
		const {sequence} = entry;
		const before = step.running.filter(other => compareSequences(other, sequence) < 0);
		if (!entry.isRunning) {
			if (!canAdmit(sequence, before, step)) {
				return;
			}

			entry.isRunning = true;
			startPrefill(sequence, step);
		}

		const taken = before.reduce((sum, other) => sum + (step.prefills.get(other) ?? 0), 0);
		advancePrefill(entry, profile.prefillTokensPerStep - taken, step.slowness);
		sequence.generatedTokens += sequence.pendingPrefill === 0 ? 1 : 0;
	}

	function hasEnded({sequence}: Entry): boolean {
		return sequence.generatedTokens >= countAllTokens(sequence.job);
	}

	return {
		add(sequence, isRunning, request) {
			request.onRemoved({prefilledTokens: sequence.prefilledTokens, generatedTokens: sequence.generatedTokens});
			entries.push({
				sequence: {...sequence}, request, isRunning, delayMs: 0,
			});
		},
		advance(step) {
			for (const entry of entries) {
				advanceEntry(entry, step);
			}

			const ended = entries.filter(entry => hasEnded(entry));
			entries = entries.filter(entry => !hasEnded(entry));
			for (const {request, delayMs} of ended) {
				request.onEnd(delayMs);
			}
		},
		end(slowness) {
			const ended = entries;
			entries = [];
			for (const {sequence, request, delayMs} of ended) {
				const steps = Math.max(0, countAllTokens(sequence.job) - sequence.generatedTokens);
				const aloneMs = measureOwnPrefill(sequence, sequence.pendingPrefill) + (steps * (profile.stepMs + profile.stepMsPerSequence));
				request.onEnd(delayMs + (aloneMs * slowness));
			}
		},
		clear() {
			entries = [];
		},
	};
}
