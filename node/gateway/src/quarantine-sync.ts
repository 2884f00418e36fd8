import type {Quarantine} from '@valvesaddle/quarantine';

/**
Exchange of crashes with peers.
*/
export type QuarantineSync = {
	readonly quarantine: Quarantine;
	/**
	Sends all rows to a node that has just been linked.
	*/
	readonly sendFull: (node: string) => void;
	readonly removeLink: (node: string) => void;
	/**
	Merges the rows of a peer, and forwards those that were new.
	*/
	readonly apply: (parameters: unknown, node: string) => void;
	readonly close: () => void;
};
