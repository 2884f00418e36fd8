import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptFailure} from './attempt-failure.ts';

/**
Events of the attempts of one request.
*/
export type SwitchEvents = Omit<AttemptEvents, 'onAccepted'> & {
	/**
	The attempt that was to be replaced has ended, and the new one has taken its place.
	*/
	readonly onReplaced: () => void;
	/**
	The request stays with the attempt that was to be replaced.

	@param failure - Failure of the new attempt; `undefined` if the former one has made progress.
	*/
	readonly onKept: (failure: AttemptFailure | undefined) => void;
};
