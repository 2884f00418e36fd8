import type {AccountView} from './account-view.ts';

/**
 Picks the waiting client account with the fewest served tokens in proportion to its weight.

 Source: virtual token counters, Sheng et al., "Fairness in Serving Large Language Models", 2024.

 @example
 chooseAccount([{account: 'a', waiting: 1, virtualTokens: 9}, {account: 'b', waiting: 1, virtualTokens: 4}]); // 'b'
 */
export function chooseAccount(views: Iterable<AccountView>): string | undefined {
	let best: AccountView | undefined;
	for (const view of views) {
		if (view.waiting > 0 && (best === undefined || view.virtualTokens < best.virtualTokens)) {
			best = view;
		}
	}

	return best?.account;
}
