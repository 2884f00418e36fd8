import type {Quarantine} from '@valvesaddle/quarantine';
import type {UsageSync} from './usage-sync.ts';

/**
Exchange of load and cluster state with peers.
*/
export type PeerSync = {
	readonly start: () => void;
	/**
	Whether the configuration in use is the newest as far as this node can tell.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether this node has to watch the store itself.
	*/
	readonly isStoreNeeded: () => boolean;
	/**
	Whether this node watches the store for others.
	*/
	readonly isFollower: () => boolean;
	/**
	Whether this node is one of those that all others send their usage to, by a plan of the fleet's links.
	*/
	readonly isDutyCandidate: () => boolean;
	/**
	Usage counts; `undefined` if they aren't configured.
	*/
	readonly usage: UsageSync | undefined;
	readonly quarantine: Quarantine;
	/**
	Schedules sending a new placement to the parent ahead of the load update interval, in a large fleet.
	*/
	readonly sendPlacements: () => void;
	readonly close: () => void;
};
