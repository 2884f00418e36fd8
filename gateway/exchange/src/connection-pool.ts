import type {Dispatcher} from 'undici';
import type {Inlet} from './inlet.ts';

/**
Connections to one endpoint address, with at most one exchange at a time on each.
*/
export type ConnectionPool = {
	/**
	Whether an open connection is idle.
	*/
	readonly hasIdle: () => boolean;
	/**
	Returns the most recently used idle connection, or opens a new one.
	*/
	readonly acquire: () => Dispatcher;
	/**
	Returns a connection to the pool after a complete response.
	*/
	readonly release: (connection: Dispatcher) => void;
	/**
	Closes a connection whose exchange failed.
	*/
	readonly closeFailed: (connection: Dispatcher) => void;
	/**
	Returns the inlet of a connection; `undefined` until it is open.
	*/
	readonly findInlet: (connection: Dispatcher) => Inlet | undefined;
	/**
	Closes idle connections now, and busy ones when they are released.
	*/
	readonly close: () => void;
	/**
	Closes all connections immediately, including busy ones.
	*/
	readonly destroy: () => void;
};
