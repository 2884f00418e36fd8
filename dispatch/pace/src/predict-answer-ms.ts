type AnswerInput = {
	/**
	Requests that are open at the endpoint.
	*/
	readonly open: number;
	readonly slots: number;
	readonly paceMs: number;
	/**
	Share of its recent answers that were no failures.
	*/
	readonly successShare: number;
};

/**
Endpoints without any success count as if one in this many requests succeeded.
*/
const minimumSuccessShare = 0.05;

/**
 Predicts the time until a further request is answered, in milliseconds. An endpoint that fails quickly is not a fast one: the time
 counts for as often as it takes to succeed.

 @example
 predictAnswerMs({open: 17, slots: 6, paceMs: 30, successShare: 1}); // 90
 */
export function predictAnswerMs({open, slots, paceMs, successShare}: AnswerInput): number {
	return paceMs * Math.max(1, (open + 1) / Math.max(1, slots)) / Math.max(minimumSuccessShare, successShare);
}
