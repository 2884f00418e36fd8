import fc from 'fast-check';
import {test} from 'tap';
import {
	advanceOutcome,
	initialOutcome,
	isFinal,
	type Outcome,
	type OutcomeEvent,
} from '@valvesaddle/state';

const events: readonly OutcomeEvent[] = ['queue', 'grant', 'send', 'first-answer', 'not-run', 'reject', 'retry', 'finish', 'give-up'];

function applyEvents(history: readonly OutcomeEvent[]): Outcome {
	let outcome = initialOutcome;
	for (const event of history) {
		outcome = advanceOutcome(outcome, event);
	}

	return outcome;
}

const table: ReadonlyArray<readonly [string, readonly OutcomeEvent[], Outcome]> = [
	['refused before queueing', ['give-up'], {state: 'refused', ran: 'no'}],
	['refused while queued', ['queue', 'give-up'], {state: 'refused', ran: 'no'}],
	['claim failed', ['queue', 'grant', 'give-up'], {state: 'refused', ran: 'no'}],
	['endpoint unreachable, no retry', ['queue', 'grant', 'send', 'not-run', 'give-up'], {state: 'refused', ran: 'no'}],
	['rejected by the endpoint', ['queue', 'grant', 'send', 'reject'], {state: 'refused', ran: 'no'}],
	['connection lost after sending', ['queue', 'grant', 'send', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['connection lost, no slot for a retry', ['queue', 'grant', 'send', 'retry', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['connection lost, next endpoint unreachable', ['queue', 'grant', 'send', 'retry', 'grant', 'send', 'not-run', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['interrupted during the answer', ['queue', 'grant', 'send', 'first-answer', 'give-up'], {state: 'failed', ran: 'yes'}],
	['interrupted during the answer, no slot to resume', ['queue', 'grant', 'send', 'first-answer', 'retry', 'give-up'], {state: 'failed', ran: 'yes'}],
	['resumed at another endpoint', ['queue', 'grant', 'send', 'first-answer', 'retry', 'grant', 'send', 'first-answer', 'finish'], {state: 'complete', ran: 'yes'}],
];

for (const [name, history, expected] of table) {
	test(`the outcome of "${name}" is "${expected.state}, ran: ${expected.ran}"`, t => {
		t.same(applyEvents(history), expected);
		t.end();
	});
}

test('a request that may have run never becomes refused or "not run"', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...events), {maxLength: 20}), history => {
		let outcome = initialOutcome;
		let wasMaybe = false;
		for (const event of history) {
			try {
				outcome = advanceOutcome(outcome, event);
			} catch {
				continue;
			}

			if (wasMaybe && (outcome.ran === 'no' || outcome.state === 'refused')) {
				return false;
			}

			wasMaybe ||= outcome.ran !== 'no';
		}

		return true;
	}), {numRuns: 2000});
	t.end();
});

test('a final state allows no further event', t => {
	for (const history of [['give-up'], ['queue', 'grant', 'send', 'first-answer', 'finish']] as const) {
		const outcome = applyEvents(history);
		t.ok(isFinal(outcome.state));
		for (const event of events) {
			t.throws(() => advanceOutcome(outcome, event), {code: 'ERR_VALVESADDLE_INTERNAL'});
		}
	}

	t.end();
});
