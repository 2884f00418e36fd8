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
A caller gives up after this time without an event: the longest of a minimum, multiples of its latency objective and of its
pause objective.
*/
const minimumInactivityTimeoutMs = 2000;
const inactivityObjectives = 4;
const inactivityPauses = 8;
/**
A caller waits for at most this share of its remaining time before it retries.
*/
const maximumRetryAfterShare = 1 / 3;

/**
 Starts a caller with one request, which it retries after a refusal as often as its class allows.

 @example
 startCaller({clock, kind, prompt, chooseNode: () => nodes[0], onOutcome() {}});
 */
export function startCaller({clock, kind, prompt, chooseNode, onOutcome}: CallerOptions): void {
	const startedAt = clock.now();
	const inactivityTimeoutMs = Math.max(minimumInactivityTimeoutMs, inactivityObjectives * kind.objectiveMs, inactivityPauses * kind.pauseMs);
	let attempt = 0;
	let isEnded = false;
	let firstAt: number | undefined;
	let lastAt = startedAt;
	let longestPauseMs = 0;
	let task: Pick<ForwardTask, 'cancel'> | undefined;

	function settle(end: CallerOutcome['end'], failure?: CallerOutcome['failure']): void {
		if (isEnded) {
			return;
		}

		isEnded = true;
		const credits: Readonly<Record<CallerOutcome['end'], number>> = {
			inTime: prompt.worth, firstLate: prompt.lateWorth, pauseLate: prompt.lateWorth, refused: 0, failed: 0, abandoned: 0,
		};
		onOutcome({
			className: kind.name, startedAt, end, failure, wasRefused: attempt > 1 || end === 'refused', owed: prompt.worth, earned: credits[end],
		});
	}

	function handleEnd(): void {
		if (firstAt === undefined) {
			settle('failed');
		} else if (firstAt - startedAt > kind.objectiveMs) {
			settle('firstLate');
		} else {
			settle(longestPauseMs > kind.pauseMs ? 'pauseLate' : 'inTime');
		}
	}

	function checkInactivity(): void {
		if (isEnded) {
			return;
		}

		const remainingMs = lastAt + inactivityTimeoutMs - clock.now();
		if (remainingMs > 0) {
			clock.add(remainingMs, checkInactivity);
			return;
		}

		task?.cancel();
		settle('abandoned');
	}

	function sendAgain(retryAfterMs: number): void {
		const remainingMs = startedAt + kind.timeoutMs - clock.now();
		if (attempt > kind.retries || remainingMs <= 0) {
			settle('refused');
			return;
		}

		clock.add(Math.min(retryAfterMs, remainingMs * maximumRetryAfterShare), send);
	}

	const reply: Reply = {
		answer(status) {
			settle('failed', status);
		},
		start() {
			// Latency is measured to the first event.
		},
		write() {
			const now = clock.now();
			longestPauseMs = firstAt === undefined ? 0 : Math.max(longestPauseMs, now - lastAt);
			firstAt ??= now;
			lastAt = now;
			return true;
		},
		onDrain() {
			// Callers read without delay.
		},
		end: handleEnd,
		abort() {
			settle('failed', 'cut');
		},
		refuse(error) {
			if (error.traits.ran === 'no') {
				sendAgain(error.retryAfterMs ?? 0);
			} else {
				settle('failed', error.traits.status);
			}
		},
	};

	function send(): void {
		attempt++;
		lastAt = clock.now();
		const requestId = `${prompt.metadata.requestId} ${attempt}`;
		task = chooseNode().forward({
			metadata: {...prompt.metadata, requestId, waitMs: startedAt + kind.timeoutMs - clock.now()},
			route: toRoute(kind),
			version: 1,
			pool: 'engines',
			isEnginePool: true,
			account: undefined,
			method: 'POST',
			path: prompt.isCrashing === true ? '/crash' : `/${prompt.metadata.requestId}`,
			rawHeaders: [requestId],
			body: undefined,
			arrivedAt: clock.now(),
		}, reply);
	}

	send();
	checkInactivity();
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
