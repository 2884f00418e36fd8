import type {OutcomeEvent} from './outcome-event.ts';
import type {OutcomeState} from './outcome-state.ts';

/**
All allowed transitions. `give-up` leads to `refused` only where the request cannot have run.
*/
export const outcomeTransitions: Readonly<Record<OutcomeState, Readonly<Partial<Record<OutcomeEvent, OutcomeState>>>>> = {
	accepted: {queue: 'queued', 'give-up': 'refused'},
	queued: {grant: 'granted', 'give-up': 'refused'},
	granted: {send: 'sent', 'give-up': 'refused'},
	sent: {
		'first-answer': 'streaming', 'not-run': 'queued', reject: 'refused', retry: 'queued', 'give-up': 'failed',
	},
	streaming: {finish: 'complete', retry: 'queued', 'give-up': 'failed'},
	complete: {},
	refused: {},
	failed: {},
};
