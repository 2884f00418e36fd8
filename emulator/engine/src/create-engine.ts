import {compareSequences} from './compare-sequences.ts';
import {createLeftRequests} from './create-left-requests.ts';
import {createPrefixCache} from './create-prefix-cache.ts';
import type {Engine} from './engine.ts';
import type {EngineProfile} from './engine-profile.ts';
import {measurePrefill} from './measure-prefill.ts';
import type {Sequence} from './sequence.ts';

const tokensPerThousand = 1000;

/**
 Creates an emulated engine with continuous batching. It prefills prompts in the order of admission, with a limit on the
 tokens of a step, and generates one token a step for each request whose prefill is complete.

 @param profile - Sizes and speeds of the engine.
 @param everCached - Prompt parts that some engine of the pool has prefilled; prefilling them again counts as recomputed. The
 engine adds to it.
 @example
 const engine = createEngine(profile);
 engine.add(job);
 const milliseconds = engine.startStep();
 engine.endStep();
 */
export function createEngine(profile: EngineProfile, everCached = new Set<string>()): Engine {
	const prefixCache = createPrefixCache();
	const left = createLeftRequests(profile);
	let waiting: Sequence[] = [];
	let running: Sequence[] = [];
	let prefills = new Map<Sequence, number>();
	let slowness = 1;
	let order = 0;
	let prefilledTokens = 0;
	let recomputedTokens = 0;
	let preempted = 0;

	function countTokensInUse(): number {
		let tokens = 0;
		for (const sequence of running) {
			tokens += sequence.contextTokens;
		}

		return tokens - countHeldTwice(running);
	}

	/**
	Counts the tokens of shared parts that several of the requests hold together, beyond the first of each.
	*/
	function countHeldTwice(sequences: readonly Sequence[]): number {
		if (profile.isSharedHeldOnce !== true) {
			return 0;
		}

		const parts = new Set<string>();
		let tokens = 0;
		for (const {id, tokens: partTokens} of sequences.flatMap(({job}) => job.shared)) {
			tokens += parts.has(id) ? partTokens : 0;
			parts.add(id);
		}

		return tokens;
	}

	/**
	Counts the tokens that a waiting request would add to those in use.
	*/
	function countAdded({job, generatedTokens}: Sequence): number {
		const held = new Set(profile.isSharedHeldOnce === true ? running.flatMap(({job: {shared}}) => shared.map(({id}) => id)) : []);
		return job.promptTokens + generatedTokens - job.shared.reduce((sum, {id, tokens}) => sum + (held.has(id) ? tokens : 0), 0);
	}

	function startPrefill(sequence: Sequence): void {
		let cachedTokens = 0;
		let isPrefixCached = true;
		for (const {id, tokens} of sequence.job.shared) {
			isPrefixCached &&= prefixCache.has(id);
			cachedTokens += isPrefixCached ? tokens : 0;
			recomputedTokens += !isPrefixCached && everCached.has(id) ? tokens : 0;
		}

		sequence.pendingPrefill = Math.max(1, sequence.job.promptTokens - cachedTokens);
		sequence.contextTokens = sequence.job.promptTokens + sequence.generatedTokens;
		for (const {id, tokens} of sequence.job.shared) {
			prefixCache.add(id, tokens);
			everCached.add(id);
		}
	}

	function addPrefill(sequence: Sequence, budget: number): number {
		const tokens = Math.min(sequence.pendingPrefill, budget);
		prefills.set(sequence, tokens);
		return tokens;
	}

	/**
	Admits waiting requests by urgency while the step has prefill tokens left and the KV cache has room.
	*/
	function admit(budget: number): void {
		let remaining = budget;
		let inUse = countTokensInUse();
		waiting.sort((a, b) => compareSequences(a, b));
		while (remaining > 0 && running.length < profile.slots && waiting.length > 0) {
			const next = waiting[0]!;
			const added = countAdded(next);
			if (running.length > 0 && inUse + added > profile.cacheTokens) {
				return;
			}

			waiting = waiting.slice(1);
			running.push(next);
			startPrefill(next);
			inUse += added;
			remaining -= addPrefill(next, remaining);
		}
	}

	/**
	Moves the newest of the least urgent requests back to the queue until the others fit into the KV cache.
	*/
	function applyPreemption(): void {
		let inUse = countTokensInUse();
		while (inUse > profile.cacheTokens && running.length > 1) {
			const last = running.toSorted((a, b) => compareSequences(b, a))[0]!;
			running = running.filter(sequence => sequence !== last);
			waiting.push(last);
			inUse = countTokensInUse();
			preempted++;
		}

		prefixCache.shrink(profile.cacheTokens - inUse);
	}

	function measureStep(): number {
		let milliseconds = profile.stepMs + (profile.stepMsPerSequence * running.length) + (profile.stepMsPerThousandTokens * countTokensInUse() / tokensPerThousand);
		for (const [sequence, tokens] of prefills) {
			milliseconds += measurePrefill(profile, tokens, sequence.job.promptTokens - sequence.pendingPrefill);
		}

		return milliseconds;
	}

	function advanceSequence(sequence: Sequence): void {
		sequence.generatedTokens++;
		sequence.contextTokens++;
		if ((sequence.generatedTokens - 1) % profile.tokensPerEvent !== 0) {
			return;
		}

		sequence.sentEvents++;
		sequence.job.onEvent(sequence.job.firstEvent + sequence.sentEvents - 1);
		if (!(sequence.job.firstEvent + sequence.sentEvents >= sequence.job.events)) {
			return;
		}

		running = running.filter(other => other !== sequence);
		sequence.job.onEnd();
	}

	return {
		add(job) {
			if (running.length + waiting.length >= profile.slots + profile.queue) {
				job.onRefused();
				return;
			}

			waiting.push({
				job, order: order++, pendingPrefill: job.promptTokens, prefilledTokens: 0, contextTokens: 0, generatedTokens: 0, sentEvents: 0,
			});
		},
		remove(id, request) {
			const sequence = [...running, ...waiting].find(({job}) => job.id === id);
			if (sequence !== undefined && request !== undefined) {
				left.add(sequence, running.includes(sequence), request);
			}

			waiting = waiting.filter(({job}) => job.id !== id);
			running = running.filter(({job}) => job.id !== id);
		},
		startStep() {
			applyPreemption();
			prefills = new Map();
			let budget = profile.prefillTokensPerStep;
			for (const sequence of running) {
				budget -= addPrefill(sequence, budget);
			}

			admit(budget);
			if (running.length > 0) {
				return measureStep() * slowness;
			}

			left.end(slowness);
			return undefined;
		},
		endStep() {
			left.advance({
				running, prefills, inUse: countTokensInUse(), slowness, cached: prefixCache,
			});
			for (const [sequence, tokens] of prefills) {
				if (!running.includes(sequence)) {
					continue;
				}

				sequence.pendingPrefill -= tokens;
				sequence.prefilledTokens += tokens;
				prefilledTokens += tokens;
				if (sequence.pendingPrefill === 0) {
					advanceSequence(sequence);
				}
			}

			prefills = new Map();
		},
		drop() {
			waiting = [];
			running = [];
			prefills = new Map();
			prefixCache.clear();
			left.clear();
		},
		setSlowness(factor) {
			slowness = factor;
		},
		counts: () => ({prefilledTokens, recomputedTokens, preempted}),
	};
}
