/**
Options of `createExchangeClient`. All times are in milliseconds.
*/
export type ExchangeClientOptions = {
	/**
	How long a new connection may take.
	*/
	readonly connectMs: number;
	/**
	How long an idle connection is kept when the endpoint does not say.
	*/
	readonly keepAliveMs: number;
	/**
	Called for each connection that is opened.
	*/
	readonly onConnect?: () => void;
};
