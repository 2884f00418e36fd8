import type {ChunkPacer} from '@valvesaddle/pacing';

/**
Options of `createExchangeClient`. All times are in milliseconds.
*/
export type ExchangeClientOptions = {
	/**
	Timeout for opening a connection.
	*/
	readonly connectMs: number;
	/**
	Keep-alive timeout of an idle connection when the endpoint sends none.
	*/
	readonly keepAliveMs: number;
	/**
	Called for each new connection.
	*/
	readonly onConnect?: () => void;
	/**
	Paces responses in small chunks; without it they are read as they come.
	*/
	readonly pacer?: ChunkPacer;
};
