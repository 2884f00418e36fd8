import type {ForwardTask, Reply} from '@valvesaddle/forwarding';
import type {Route} from '@valvesaddle/gateway-types';
import type {CallerClass} from './caller-class.ts';
import type {CallerOutcome} from './caller-outcome.ts';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationClock} from './emulation-clock.ts';
import type {Prompt} from './prompt.ts';

type CallerOptions = {
	readonly clock: EmulationClock;
	readonly kind: CallerClass;
	readonly prompt: Prompt;
	readonly chooseNode: () => EmulatedNode;
	readonly onOutcome: (outcome: CallerOutcome) => void;
};

/**
Longest silence that a caller bears before and between events: the longest of these.
*/
const leastSilenceMs = 2000;
const silenceObjectives = 4;
const silencePauses = 8;
/**
Part of the time that is left for which a caller heeds the time to come back.
*/
const heededShare = 1 / 3;

/**
 Starts a caller with one request, which it repeats as often as its class does after a refusal.

 @example
 startCaller({clock, kind, prompt, chooseNode: () => nodes[0], onOutcome() {}});
 */
export function startCaller({clock, kind, prompt, chooseNode, onOutcome}: CallerOptions): void {
	const askedAt = clock.now();
	const silenceMs = Math.max(leastSilenceMs, silenceObjectives * kind.objectiveMs, silencePauses * kind.pauseMs);
	let tries = 0;
	let isOver = false;
	let firstAt: number | undefined;
	let lastAt = askedAt;
	let longestPauseMs = 0;
	let task: ForwardTask | undefined;

	function settle(end: CallerOutcome['end']): void {
		if (isOver) {
			return;
		}

		isOver = true;
		const credits: Readonly<Record<CallerOutcome['end'], number>> = {
			inTime: prompt.worth, firstLate: prompt.lateWorth, pauseLate: prompt.lateWorth, refused: 0, failed: 0, abandoned: 0,
		};
		onOutcome({
			className: kind.name, startedAt: askedAt, end, wasRefused: tries > 1 || end === 'refused', owed: prompt.worth, earned: credits[end],
		});
	}

	function handleEnd(): void {
		if (firstAt === undefined) {
			settle('failed');
		} else if (firstAt - askedAt > kind.objectiveMs) {
			settle('firstLate');
		} else {
			settle(longestPauseMs > kind.pauseMs ? 'pauseLate' : 'inTime');
		}
	}

	function checkSilence(): void {
		if (isOver) {
			return;
		}

		const leftMs = lastAt + silenceMs - clock.now();
		if (leftMs > 0) {
			clock.add(leftMs, checkSilence);
			return;
		}

		task?.cancel();
		settle('abandoned');
	}

	function sendAgain(retryAfterMs: number): void {
		const leftMs = askedAt + kind.timeoutMs - clock.now();
		if (tries > kind.retries || leftMs <= 0) {
			settle('refused');
			return;
		}

		clock.add(Math.min(retryAfterMs, leftMs * heededShare), send);
	}

	const reply: Reply = {
		answer() {
			settle('failed');
		},
		begin() {
			// The first event counts.
		},
		write() {
			const now = clock.now();
			longestPauseMs = firstAt === undefined ? 0 : Math.max(longestPauseMs, now - lastAt);
			firstAt ??= now;
			lastAt = now;
			return true;
		},
		onDrain() {
			// Never slow.
		},
		end: handleEnd,
		cut() {
			settle('failed');
		},
		refuse(error) {
			if (error.traits.ran === 'no') {
				sendAgain(error.retryAfterMs ?? 0);
			} else {
				settle('failed');
			}
		},
	};

	function send(): void {
		tries++;
		lastAt = clock.now();
		const requestId = `${prompt.metadata.requestId} ${tries}`;
		task = chooseNode().forwarder.forward({
			facts: {...prompt.metadata, requestId, waitMs: askedAt + kind.timeoutMs - clock.now()},
			route: toRoute(kind),
			version: 1,
			pool: 'engines',
			isEnginePool: true,
			account: undefined,
			method: 'POST',
			path: '/',
			rawHeaders: [requestId],
			body: undefined,
			arrivedAt: clock.now(),
		}, reply);
	}

	send();
	checkSilence();
}

function toRoute({name, timeoutMs, objectiveMs, pauseMs, priority, attempts, isResumable}: CallerClass): Route {
	return {
		name,
		host: '',
		prefix: '/',
		kind: 'stream',
		timeoutMs,
		latencyObjectiveMs: objectiveMs,
		priority,
		targets: [],
		maximumAttempts: attempts,
		isPublic: true,
		isResumable,
		pauseObjectiveMs: pauseMs,
	};
}
