/**
Event in the life cycle of a request.
*/
export type OutcomeEvent =
	| 'queue'
	| 'grant'
	| 'send'
	| 'first-answer'
	/**
	The endpoint certainly did not run the request.
	*/
	| 'not-run'
	/**
	The endpoint rejected the request as invalid before running it.
	*/
	| 'reject'
	/**
	The endpoint failed and the request may be sent again.
	*/
	| 'retry'
	| 'finish'
	| 'give-up';
