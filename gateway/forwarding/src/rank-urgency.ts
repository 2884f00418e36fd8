import type {GatewayAccount, Route} from '@valvesaddle/gateway-types';

/**
Ranks of client accounts within one rank of routes.
*/
const accountRanks = 2;

/**
 Rank of a request at an endpoint, 0 first: by its route, and by the client account among requests of equal routes. By the
 account first, the drafts of a favoured account would preempt the urgent questions of all others.

 @param route - The request's route.
 @param account - The client account; `undefined` for a public route.
 @example
 rankUrgency({...route, priority: 2}, {name: 'sawmill', keyHashes: [], priority: 1}); // 5
 */
export function rankUrgency(route: Route, account: GatewayAccount | undefined): number {
	return (route.priority * accountRanks) + Math.min(accountRanks - 1, account?.priority ?? 0);
}
