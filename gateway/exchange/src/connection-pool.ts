import type {Dispatcher} from 'undici';

/**
Connections to one address.
*/
export type ConnectionPool = {
	/**
	Whether a connection is open that carries nothing now.
	*/
	readonly hasIdle: () => boolean;
	/**
	Takes the connection that was used last, or opens one.
	*/
	readonly take: () => Dispatcher;
	/**
	Gives a connection back whose answer was whole.
	*/
	readonly giveBack: (connection: Dispatcher) => void;
	/**
	Closes a connection whose exchange failed.
	*/
	readonly drop: (connection: Dispatcher) => void;
	/**
	Closes idle connections, and others when they are given back.
	*/
	readonly close: () => void;
	/**
	Closes all connections at once.
	*/
	readonly destroy: () => void;
};
