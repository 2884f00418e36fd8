import {Clock} from 'clock-mock';
import {test} from 'tap';
import type {EngineProfile} from '@valvesaddle/emulator-engine';
import {createAttemptRecord} from '../src/create-attempt-record.ts';
import {createEmulatedEndpoint} from '../src/create-emulated-endpoint.ts';
import {createEmulationClock} from '../src/create-emulation-clock.ts';
import type {EmulatedEndpoint} from '../src/emulated-endpoint.ts';

const profile: EngineProfile = {
	slots: 4, queue: 4, cacheTokens: 100_000, stepMs: 5, stepMsPerSequence: 0, stepMsPerThousandTokens: 0, prefillTokensPerMs: 50, prefillTokensPerStep: 2000, msPerMillionPairs: 0, tokensPerEvent: 1,
};
const linkMs = 1;

type AttemptRecord = ReturnType<typeof createAttemptRecord>;
type EmulationClock = ReturnType<typeof createEmulationClock>;

function runWithClock(run: (clock: EmulationClock, endpoint: EmulatedEndpoint) => void): void {
	const paused = new Clock();
	const exit = paused.enter();
	try {
		const clock = createEmulationClock(paused);
		run(clock, createEmulatedEndpoint({
			id: 'e-0', clock, profile, slowness: 1, linkMs, everCached: new Set(), random: () => 0, fullRetryAfterMs: undefined,
		}));
	} finally {
		exit();
	}
}

function sendJob(endpoint: EmulatedEndpoint, id: string, onEvent: (number: number) => void): void {
	endpoint.send({
		id, promptTokens: 1000, shared: [], events: 10, firstEvent: 0, urgency: 0, onEvent, onEnd() {
			// Not checked.
		},
	}, {
		node: 'n-0', onLost() {
			// Not checked.
		}, onRefused() {
			// Not checked.
		},
	});
}

function logFailure({logger}: AttemptRecord, request: string, isRetried: boolean): void {
	logger.info({
		name: 'attempt-failed', request, digest: '-', endpoint: 'i-0', attempt: 1, cause: 'silent', reason: '', mayHaveRun: true, isRetried, denial: undefined, retries: 0, allowedRetries: 0,
	});
}

function logAnswer({logger}: AttemptRecord, request: string): void {
	logger.info({
		name: 'request-ended', request, route: '', outcome: 'answered', status: 200, elapsedMs: 0, firstByteMs: 0, longestPauseMs: 0, pieces: 0, tries: 2, runs: 2,
	});
}

test('a repeat is of use only if it is answered before the attempt would have ended', t => {
	const record = createAttemptRecord({linkMs});
	const leave = (request: string, isRetried: boolean) => {
		const left = record.recordAbort(request, true);
		logFailure(record, request, isRetried);
		return left;
	};

	leave('of-use', true);
	logAnswer(record, 'of-use');
	leave('later', true).onEnd(-10_000);
	logAnswer(record, 'later');
	leave('unanswered', true).onEnd(0);
	leave('in-vain', true);
	leave('for-nothing', false).onEnd(0);
	leave('lost-anyway', false);
	record.recordAbort('cancelled', true).onEnd(0);
	logAnswer(record, 'cancelled');
	t.match(record.count(), {
		ended: 6, repeats: 4, repeatsOfUse: 1, repeatsLater: 2, repeatsInVain: 1, endedForNothing: 1,
	});
	t.end();
});

test('an attempt counts as left once another one has replaced it, and not if it goes on', t => {
	const record = createAttemptRecord({linkMs});
	logFailure(record, 'moved', true);
	t.equal(record.count().ended, 0);
	record.recordAbort('moved', false);
	logAnswer(record, 'moved');
	logFailure(record, 'reverted', true);
	record.recordAbort('reverted', true).onEnd(0);
	logAnswer(record, 'reverted');
	t.match(record.count(), {ended: 1, repeats: 1, repeatsOfUse: 1});
	t.end();
});

test('an attempt that is aborted after its engine has sent the whole answer counts as ended then', t => {
	runWithClock((clock, endpoint) => {
		const record = createAttemptRecord({linkMs});
		sendJob(endpoint, 'a', () => {
			// Not read by the node.
		});
		clock.add(5000, () => {
			endpoint.abort('a', record.recordAbort('a', true));
			logFailure(record, 'a', false);
		});
		clock.run(6000);
		t.match(record.count(), {endedAnswered: 1, endedForNothing: 1});
	});
	t.end();
});

test('an engine that stands still sends its events afterwards, and a foreign prompt is prefilled first', t => {
	const measureFirst = (change: (endpoint: EmulatedEndpoint) => void): number => {
		let firstAt = Infinity;
		runWithClock((clock, endpoint) => {
			const startedAt = clock.now();
			change(endpoint);
			sendJob(endpoint, 'a', () => {
				firstAt = Math.min(firstAt, clock.now() - startedAt);
			});
			clock.run(10_000);
		});
		return firstAt;
	};

	const usualMs = measureFirst(() => {
		// Nothing is changed.
	});
	t.ok(usualMs < 100, `${usualMs} ms`);
	const pausedMs = measureFirst(endpoint => {
		endpoint.pause(2000);
	});
	t.ok(pausedMs >= 2000 && pausedMs <= 2000 + usualMs, `${pausedMs} ms`);
	const behindMs = measureFirst(endpoint => {
		endpoint.addForeignPrompt(50_000);
	});
	t.ok(behindMs >= 50_000 / profile.prefillTokensPerMs, `${behindMs} ms`);
	t.end();
});
