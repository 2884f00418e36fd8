import type Emittery from 'emittery';
import type {
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StateSource} from './state-source.ts';
import type {ClusterEvents} from './cluster-events.ts';
import type {ClusterState} from './cluster-state.ts';

/**
A node's view of the cluster. An entry is replaced only by one of a higher revision, an endpoint's only by one of the same or a
later incarnation.
*/
export type ClusterView = {
	readonly events: Emittery<ClusterEvents>;
	readonly revision: () => number;
	readonly configuration: () => GatewayConfiguration | undefined;
	/**
	Whether there is a configuration that is newer than the one in force and cannot be decoded.
	*/
	readonly hasUnreadableConfiguration: () => boolean;
	readonly endpoints: () => readonly ServingEndpoint[];
	readonly nodes: () => readonly GatewayNode[];
	/**
	Applies changes that leave no gap after the view's revision.
	*/
	readonly applyChanges: (changes: ClusterChanges, source: StateSource) => void;
	/**
	Applies the full contents of a source: entries that it lacks were removed.
	*/
	readonly applyAll: (changes: ClusterChanges, source: StateSource) => void;
	/**
	Sets until when removals from the store are held, in milliseconds on the monotonic clock: the leases of these entries may only have
	expired in a store outage.
	*/
	readonly setRemovalGraceUntil: (time: number) => void;
	/**
	Digest of the view. It shows whether two nodes at the same revision have the same entries.
	*/
	readonly digest: () => number;
	/**
	Whether removals are held for the grace period.
	*/
	readonly hasPendingRemovals: () => boolean;
	/**
	Exports the cluster state for a peer: all entries, or those newer than `since` if the tombstones reach back to it.
	*/
	readonly exportState: (isSteady: boolean, since?: number) => ClusterState;
	readonly importState: (state: ClusterState) => void;
	readonly close: () => void;
};
