import {createPrefixCache} from './create-prefix-cache.ts';
import type {Engine} from './engine.ts';
import type {EngineJob} from './engine-job.ts';
import type {EngineProfile} from './engine-profile.ts';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

type Run = {
	readonly job: EngineJob;
	readonly order: number;
	/**
	Prompt tokens that are still to be read.
	*/
	unread: number;
	/**
	Tokens in memory for this request alone.
	*/
	context: number;
	/**
	Tokens made, and events that came out.
	*/
	made: number;
	events: number;
};

/**
 Creates an emulated engine. It reads prompts one after the other, in the order in which they were admitted, up to a number
 of tokens a step, and makes one token a step for each request that was read.

 @param speed - Times and sizes of the engine.
 @param everKept - Parts that some engine of the pool has read; reading them again is waste. Filled in by the engine.
 @example
 const engine = createEngine(speed);
 engine.add(job);
 const milliseconds = engine.startStep();
 engine.endStep();
 */
export function createEngine(speed: EngineProfile, everKept = new Set<string>()): Engine {
	const memory = createPrefixCache();
	let waiting: Run[] = [];
	let running: Run[] = [];
	let chunks = new Map<Run, number>();
	let slowness = 1;
	let order = 0;
	let prefilledTokens = 0;
	let recomputedTokens = 0;
	let preempted = 0;

	function countInUse(): number {
		let tokens = 0;
		for (const run of running) {
			tokens += run.context;
		}

		return tokens;
	}

	function startReading(run: Run): void {
		let kept = 0;
		let isPrefixKept = true;
		for (const {id, tokens} of run.job.shared) {
			isPrefixKept &&= memory.has(id);
			kept += isPrefixKept ? tokens : 0;
			recomputedTokens += !isPrefixKept && everKept.has(id) ? tokens : 0;
		}

		run.unread = Math.max(1, run.job.promptTokens - kept);
		run.context = run.job.promptTokens + run.made;
		for (const {id, tokens} of run.job.shared) {
			memory.add(id, tokens);
			everKept.add(id);
		}
	}

	function startReadingOf(run: Run, left: number): number {
		const tokens = Math.min(run.unread, left);
		chunks.set(run, tokens);
		return tokens;
	}

	/**
	Admits waiting requests by urgency, as long as the step has tokens left to read and the memory has room.
	*/
	function admit(left: number): void {
		let rest = left;
		let inUse = countInUse();
		waiting.sort((a, b) => compareRuns(a, b));
		while (rest > 0 && running.length < speed.slots && waiting.length > 0) {
			const next = waiting[0]!;
			if (running.length > 0 && inUse + next.job.promptTokens + next.made > speed.cacheTokens) {
				return;
			}

			waiting = waiting.slice(1);
			running.push(next);
			startReading(next);
			inUse += next.context;
			rest -= startReadingOf(next, rest);
		}
	}

	/**
	Puts the newest of the least urgent requests back until the rest fits into memory.
	*/
	function applyPreemption(): void {
		let inUse = countInUse();
		while (inUse > speed.cacheTokens && running.length > 1) {
			const last = running.toSorted((a, b) => compareRuns(b, a))[0]!;
			running = running.filter(run => run !== last);
			waiting.push(last);
			inUse -= last.context;
			preempted++;
		}

		memory.shrink(speed.cacheTokens - inUse);
	}

	function measureStep(): number {
		let milliseconds = speed.stepMs + (speed.stepMsPerSequence * running.length) + (speed.stepMsPerThousandTokens * countInUse() / tokensPerThousand);
		for (const [run, tokens] of chunks) {
			const before = run.job.promptTokens - run.unread + (tokens / 2);
			milliseconds += (tokens / speed.prefillTokensPerMs) + (tokens * before / pairsPerMillion * speed.msPerMillionPairs);
		}

		return milliseconds;
	}

	function advanceRun(run: Run): void {
		run.made++;
		run.context++;
		if ((run.made - 1) % speed.tokensPerEvent !== 0) {
			return;
		}

		run.events++;
		run.job.onEvent(run.job.firstEvent + run.events - 1);
		if (!(run.job.firstEvent + run.events >= run.job.events)) {
			return;
		}

		running = running.filter(other => other !== run);
		run.job.onEnd();
	}

	return {
		add(job) {
			if (running.length + waiting.length >= speed.slots + speed.queue) {
				job.onRefused();
				return;
			}

			waiting.push({
				job, order: order++, unread: job.promptTokens, context: 0, made: 0, events: 0,
			});
		},
		remove(id) {
			waiting = waiting.filter(({job}) => job.id !== id);
			running = running.filter(({job}) => job.id !== id);
		},
		startStep() {
			applyPreemption();
			chunks = new Map();
			let left = speed.prefillTokensPerStep;
			for (const run of running) {
				left -= startReadingOf(run, left);
			}

			admit(left);
			return running.length === 0 ? undefined : measureStep() * slowness;
		},
		endStep() {
			for (const [run, tokens] of chunks) {
				if (!running.includes(run)) {
					continue;
				}

				run.unread -= tokens;
				prefilledTokens += tokens;
				if (run.unread === 0) {
					advanceRun(run);
				}
			}

			chunks = new Map();
		},
		drop() {
			waiting = [];
			running = [];
			chunks = new Map();
			memory.clear();
		},
		setSlowness(factor) {
			slowness = factor;
		},
		counts: () => ({prefilledTokens, recomputedTokens, preempted}),
	};
}

/**
The more urgent one first, and the earlier one of two alike.
*/
function compareRuns(a: Run, b: Run): number {
	return a.job.urgency === b.job.urgency ? a.order - b.order : a.job.urgency - b.job.urgency;
}
