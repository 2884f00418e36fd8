import fc from 'fast-check';
import {test} from 'tap';
import {
	advanceOutcome,
	firstOutcome,
	isFinal,
	type Outcome,
	type OutcomeEvent,
} from '@valvesaddle/state';

const events: readonly OutcomeEvent[] = ['queue', 'grant', 'send', 'first-answer', 'not-run', 'reject', 'retry', 'finish', 'give-up'];

function advanceAll(steps: readonly OutcomeEvent[]): Outcome {
	let outcome = firstOutcome;
	for (const step of steps) {
		outcome = advanceOutcome(outcome, step);
	}

	return outcome;
}

const table: ReadonlyArray<readonly [string, readonly OutcomeEvent[], Outcome]> = [
	['refused before it waited', ['give-up'], {state: 'refused', ran: 'no'}],
	['refused while it waited', ['queue', 'give-up'], {state: 'refused', ran: 'no'}],
	['claim failed', ['queue', 'grant', 'give-up'], {state: 'refused', ran: 'no'}],
	['endpoint unreachable, then given up', ['queue', 'grant', 'send', 'not-run', 'give-up'], {state: 'refused', ran: 'no'}],
	['endpoint found fault', ['queue', 'grant', 'send', 'reject'], {state: 'refused', ran: 'no'}],
	['connection lost after sending', ['queue', 'grant', 'send', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['lost, then no slot for another try', ['queue', 'grant', 'send', 'retry', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['lost, then unreachable elsewhere', ['queue', 'grant', 'send', 'retry', 'grant', 'send', 'not-run', 'give-up'], {state: 'failed', ran: 'maybe'}],
	['broke off mid-answer', ['queue', 'grant', 'send', 'first-answer', 'give-up'], {state: 'failed', ran: 'yes'}],
	['broke off mid-answer, no slot to resume', ['queue', 'grant', 'send', 'first-answer', 'retry', 'give-up'], {state: 'failed', ran: 'yes'}],
	['resumed elsewhere', ['queue', 'grant', 'send', 'first-answer', 'retry', 'grant', 'send', 'first-answer', 'finish'], {state: 'complete', ran: 'yes'}],
];

for (const [name, steps, expected] of table) {
	test(`the words for "${name}" are "${expected.state}, ran: ${expected.ran}"`, t => {
		t.same(advanceAll(steps), expected);
		t.end();
	});
}

test('"not run" is never said once an attempt may have run', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...events), {maxLength: 20}), steps => {
		let outcome = firstOutcome;
		let wasMaybe = false;
		for (const step of steps) {
			try {
				outcome = advanceOutcome(outcome, step);
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

test('an ended request takes no further step', t => {
	for (const steps of [['give-up'], ['queue', 'grant', 'send', 'first-answer', 'finish']] as const) {
		const outcome = advanceAll(steps);
		t.ok(isFinal(outcome.state));
		for (const event of events) {
			t.throws(() => advanceOutcome(outcome, event), {code: 'ERR_VALVESADDLE_INTERNAL'});
		}
	}

	t.end();
});
