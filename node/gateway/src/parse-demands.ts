import type {DemandRow, PoolDemand} from '@valvesaddle/demand';

/**
Bounds on what a peer may tell: far above what a fleet can ask of a pool within a window, and low enough that sums stay exact.
*/
const maximumTokens = 1e12;
const maximumAccounts = 1e6;
const maximumNameLength = 256;
/**
Rows of a pool that are read, twice as many as a peer sends.
*/
const maximumRows = 256;
const maximumPools = 256;
const poolFields = 3;
const rowFields = 6;

type ParsedDemands = {
	/**
	`undefined` if the message has none.
	*/
	readonly demands: readonly PoolDemand[] | undefined;
	/**
	Number of rows that could not be read and are left out.
	*/
	readonly unreadable: number;
};

/**
 Parses the demands of a load update from the rows that `formatDemands` writes. Unlike the loads beside them, they are read row by
 row: a row that cannot be read is left out, and harms nothing else.

 @param message - The load update.
 @example
 parseDemands({demands: [['p', 40, [[2, 'sawmill', 1, 900, 0, 0]]]]}).demands?.[0]?.rows.length; // 1
 */
export function parseDemands(message: unknown): ParsedDemands {
	const {demands} = message as Readonly<Record<string, unknown>>;
	if (demands === undefined) {
		return {demands: undefined, unreadable: 0};
	}

	if (!Array.isArray(demands)) {
		return {demands: undefined, unreadable: 1};
	}

	const parsed = demands.slice(0, maximumPools).map(demand => parsePoolDemand(demand));
	return {
		demands: parsed.flatMap(({demand}) => demand ?? []),
		unreadable: parsed.reduce((sum, {unreadable}) => sum + unreadable, demands.length - parsed.length),
	};
}

function parsePoolDemand(value: unknown): {readonly demand: PoolDemand | undefined; readonly unreadable: number} {
	const [pool, agoMs, rows] = parseFields(value, poolFields);
	if (!(typeof agoMs === 'number' && agoMs >= -1 && Number.isFinite(agoMs) && Array.isArray(rows) && isName(pool))) {
		return {demand: undefined, unreadable: 1};
	}

	const parsed = rows.slice(0, maximumRows).flatMap(row => parseRow(row) ?? []);
	return {demand: {pool, contendedAgoMs: agoMs < 0 ? undefined : agoMs, rows: parsed}, unreadable: rows.length - parsed.length};
}

function parseRow(value: unknown): DemandRow | undefined {
	const [priority, account, accounts, askedTokens, returnedTokens, servedTokens] = parseFields(value, rowFields);
	return isName(account) && isWithin(priority, maximumAccounts) && isWithin(accounts, maximumAccounts)
		&& isWithin(askedTokens, maximumTokens) && isWithin(returnedTokens, maximumTokens) && isWithin(servedTokens, maximumTokens)
		? {
			priority, account, accounts: Math.max(1, accounts), askedTokens, returnedTokens, servedTokens,
		}
		: undefined;
}

function parseFields(value: unknown, fields: number): readonly unknown[] {
	return Array.isArray(value) && value.length === fields ? value as readonly unknown[] : [];
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maximumNameLength;
}

function isWithin(value: unknown, maximum: number): value is number {
	return typeof value === 'number' && value >= 0 && value <= maximum;
}
