import type {GatewayAccount, Route} from '@valvesaddle/gateway-types';

/**
Ranks within one rank of routes: two of client accounts, and the last for requests that cannot be in time.
*/
const ranksPerPriority = 3;

/**
 Rank of a request at an endpoint, 0 first: by its route, and by the client account among requests of equal routes. By the
 account first, the drafts of a favoured account would preempt the urgent questions of all others.

 @param route - The request's route.
 @param account - The client account; `undefined` for a public route.
 @param isLate - Whether the request cannot be in time.
 @example
 rankUrgency({...route, priority: 2}, {name: 'sawmill', keyHashes: [], priority: 1}, false); // 7
 */
export function rankUrgency(route: Route, account: GatewayAccount | undefined, isLate: boolean): number {
	return (route.priority * ranksPerPriority) + (isLate ? ranksPerPriority - 1 : Math.min(ranksPerPriority - 2, account?.priority ?? 0));
}
