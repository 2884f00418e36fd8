import type {PoolDemand} from '@valvesaddle/demand';
import type {LoadUpdateMessage} from './load-update-message.ts';

/**
 Formats the demands of a load update as rows without field names, in whole tokens and milliseconds.

 @example
 formatDemands([{pool: 'p', contendedAgoMs: undefined, rows: []}]); // [['p', -1, []]]
 */
export function formatDemands(demands: readonly PoolDemand[]): NonNullable<LoadUpdateMessage['demands']> {
	return demands.map(({pool, contendedAgoMs, rows}) => [
		pool,
		contendedAgoMs === undefined ? -1 : Math.round(contendedAgoMs),
		rows.map(({priority, account, accounts, askedTokens, returnedTokens, servedTokens}) => [
			priority, account, accounts, Math.round(askedTokens), Math.round(returnedTokens), Math.round(servedTokens),
		]),
	]);
}
