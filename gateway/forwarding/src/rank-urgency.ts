import type {GatewayAccount, Route} from '@valvesaddle/gateway-types';

/**
Ranks of routes within one rank of client accounts.
*/
const routeRanks = 4;

/**
 Rank of a request at an endpoint, 0 first: the client account's priority goes before the route's, which orders requests
 of equal accounts. Without it all requests of equal accounts would be alike at the engine, and the newest of them would
 be preempted however urgent its route is.

 @param route - The request's route.
 @param account - The client account; `undefined` for a public route.
 @example
 rankUrgency({...route, priority: 2}, {name: 'sawmill', keyHashes: [], priority: 1}); // 6
 */
export function rankUrgency(route: Route, account: GatewayAccount | undefined): number {
	return ((account?.priority ?? 0) * routeRanks) + Math.min(routeRanks - 1, route.priority);
}
