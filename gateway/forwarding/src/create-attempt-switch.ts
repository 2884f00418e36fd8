import type {Selection} from '@valvesaddle/selection';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptSwitch} from './attempt-switch.ts';
import type {Attempt} from './attempt.ts';
import type {SwitchEvents} from './switch-events.ts';

/**
Time after sending within which an endpoint refuses a request that it does not accept, in milliseconds. Two endpoints may work on
the request for so long.
*/
const refusalMs = 150;

type AttemptSwitchOptions = {
	readonly openAttempt: (selection: Selection, events: AttemptEvents) => Attempt;
	readonly events: SwitchEvents;
};

/**
An attempt; it may end while it is being opened.
*/
type Slot = {
	attempt: Attempt | undefined;
	wasSent: boolean;
};

/**
 Creates the switch between the attempts of one request.

 @example
 const attempts = createAttemptSwitch({openAttempt: (selection, events) => createAttempt({...options, selection}, events), events});
 attempts.start(selection);
 attempts.replace(otherSelection, 'failed');
 */
export function createAttemptSwitch({openAttempt, events}: AttemptSwitchOptions): AttemptSwitch {
	let current: Slot | undefined;
	let replaced: Slot | undefined;
	let replacedEnd: 'failed' | 'cancelled' = 'cancelled';
	let timer: NodeJS.Timeout | undefined;

	function removeReplaced(): Slot | undefined {
		clearTimeout(timer);
		const slot = replaced;
		replaced = undefined;
		return slot;
	}

	function endReplaced(): void {
		const slot = removeReplaced();
		if (slot === undefined) {
			return;
		}

		slot.attempt?.end(replacedEnd);
		events.onReplaced();
	}

	/**
	Ends the new attempt, since the former one has made progress.
	*/
	function takeReplacedBack(): void {
		const dropped = current;
		current = removeReplaced();
		dropped?.attempt?.end('cancelled');
		events.onKept(undefined);
	}

	function createEvents(slot: Slot): AttemptEvents {
		return {
			...events,
			onSent() {
				slot.wasSent = true;
				events.onSent();
				if (replaced !== undefined) {
					timer = setTimeout(endReplaced, refusalMs);
				}
			},
			onAccepted() {
				if (slot === replaced) {
					takeReplacedBack();
				} else {
					endReplaced();
				}
			},
			onChunk() {
				if (slot === replaced) {
					takeReplacedBack();
				}

				events.onChunk();
			},
			onEndpointLost(cause, reason) {
				if (replaced === undefined) {
					events.onEndpointLost(cause, reason);
				}
			},
			onAnswer(answer) {
				current = undefined;
				events.onAnswer(answer);
			},
			onFailure(failure) {
				if (slot === replaced) {
					endReplaced();
				} else if (replaced === undefined) {
					current = undefined;
					events.onFailure(failure);
				} else {
					current = removeReplaced();
					events.onKept(failure);
				}
			},
		};
	}

	function start(selection: Selection): void {
		const slot: Slot = {attempt: undefined, wasSent: false};
		current = slot;
		const attempt = openAttempt(selection, createEvents(slot));
		if (current === slot) {
			slot.attempt = attempt;
		}
	}

	return {
		start,
		replace(selection, end) {
			endReplaced();
			replaced = current;
			replacedEnd = end;
			if (current?.wasSent === false) {
				endReplaced();
			}

			start(selection);
		},
		end(outcome) {
			removeReplaced()?.attempt?.end(outcome);
			current?.attempt?.end(outcome);
			current = undefined;
		},
	};
}
