/**
What happens to a request.
*/
export type OutcomeEvent =
	| 'queue'
	| 'grant'
	| 'send'
	| 'first-answer'
	/**
	The endpoint surely did not run it.
	*/
	| 'not-run'
	/**
	The endpoint found fault with the request before running it.
	*/
	| 'reject'
	/**
	The endpoint failed and the request may be sent again.
	*/
	| 'retry'
	| 'finish'
	| 'give-up';
