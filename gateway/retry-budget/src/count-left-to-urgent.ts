type ClassUsage = {
	/**
	Requests and retries of all routes in the window, and those of more urgent routes.
	*/
	readonly requests: number;
	readonly urgentRequests: number;
	readonly urgentRetries: number;
	/**
	Retries that may be spent in all.
	*/
	readonly allowed: number;
};

/**
 Counts the retries that a request leaves to those of more urgent routes while a pool fails as a whole: the part that they have
 earned, less what they have spent.

 @example
 countLeftToUrgent({requests: 100, urgentRequests: 40, urgentRetries: 3, allowed: 16}); // 3.4
 */
export function countLeftToUrgent({requests, urgentRequests, urgentRetries, allowed}: ClassUsage): number {
	return requests === 0 ? 0 : Math.max(0, (allowed * urgentRequests / requests) - urgentRetries);
}
