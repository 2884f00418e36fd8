import type {Waiter} from '@valvesaddle/waiting-room';
import type {ForwardRequest} from './forward-request.ts';

/**
Ranks of each priority: requests that can be in time, and late ones. The most urgent priority has one rank, so that none of its requests is
behind another priority's.
*/
const ranksPerPriority = 2;

/**
 Names the class and the turn of a request that waits.

 @example
 rankWaiter({...request, route: {...route, name: 'drafts', priority: 1}}, true); // {className: 'drafts late', rank: 3, …}
 */
export function rankWaiter(request: ForwardRequest, isLate: boolean): Pick<Waiter, 'pool' | 'className' | 'rank' | 'account'> {
	const {pool, route, account} = request;
	return {
		pool,
		className: isLate ? `${route.name} late` : route.name,
		rank: route.priority === 0 ? 0 : (route.priority * ranksPerPriority) + Number(isLate),
		account: account?.name ?? '',
	};
}
