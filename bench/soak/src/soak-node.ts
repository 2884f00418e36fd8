import type {Link} from './link.ts';

/**
A gateway node of the soak, over all its processes.
*/
export type SoakNode = {
	readonly name: string;
	readonly callers: string;
	/**
	Address for health checks and figures.
	*/
	readonly ready: string;
	/**
	Its way to the store.
	*/
	readonly link: Link;
	readonly pid: () => number;
	/**
	Whether the node takes callers, as a balancer would ask.
	*/
	readonly isReady: () => Promise<boolean>;
	/**
	Sends a signal to the process.
	*/
	readonly signal: (name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => void;
	readonly close: () => Promise<void>;
};
