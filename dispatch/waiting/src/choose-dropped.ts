import type {AccountUse} from './account-use.ts';

/**
 Chooses the client account of which a request is dropped when the room is full: the one that uses most of it, if that is more than
 the account of the new request would. `undefined` if the new request is the one to be refused.

 @param uses - Use of the accounts with waiting requests.
 @param newcomer - Use of the new request's account, with that request.
 @example
 chooseDropped([{account: 'a', share: 0.9, hasDroppable: true}, {account: 'b', share: 0.1, hasDroppable: true}], {account: 'b', share: 0.101}); // 'a'
 */
export function chooseDropped(uses: Iterable<AccountUse>, newcomer: Omit<AccountUse, 'hasDroppable'>): string | undefined {
	let most: AccountUse | undefined;
	for (const use of uses) {
		if (use.hasDroppable && use.share > (most?.share ?? 0)) {
			most = use;
		}
	}

	return most !== undefined && most.account !== newcomer.account && most.share > newcomer.share ? most.account : undefined;
}
