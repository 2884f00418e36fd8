import type {Link} from './link.ts';
import type {ThinLink} from './thin-link.ts';

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
	/**
	Way of some callers to it.
	*/
	readonly thinLink: ThinLink;
	readonly pid: () => number;
	/**
	Whether the node takes callers, as a balancer would ask.
	*/
	readonly isReady: () => Promise<boolean>;
	/**
	Sends a signal to the process.
	*/
	readonly signal: (name: 'SIGTERM' | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => void;
	readonly close: () => Promise<void>;
};
