import type {GatewayAccount, Route} from '@valvesaddle/gateway-types';

/**
Ranks for each route priority: two for client account priorities, and the last for requests that will miss their latency objective.
*/
const ranksPerPriority = 3;

/**
 Ranks a request for an endpoint; 0 is the most urgent. The route's priority comes before the client account's, so that
 low-priority requests of a preferred account do not preempt urgent ones of other accounts.

 @param route - The request's route.
 @param account - The client account; `undefined` for a public route.
 @param isLate - Whether the request is expected to miss its latency objective.
 @example
 rankUrgency({...route, priority: 2}, {name: 'sawmill', keyHashes: [], priority: 1}, false); // 7
 */
export function rankUrgency(route: Route, account: GatewayAccount | undefined, isLate: boolean): number {
	return (route.priority * ranksPerPriority) + (isLate ? ranksPerPriority - 1 : Math.min(ranksPerPriority - 2, account?.priority ?? 0));
}
