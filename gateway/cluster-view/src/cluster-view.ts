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
What a node believes of the cluster. A belief gives way only to one of a higher revision, that in an endpoint only to one of
the same or a later incarnation.
*/
export type ClusterView = {
	readonly events: Emittery<ClusterEvents>;
	readonly revision: () => number;
	readonly configuration: () => GatewayConfiguration | undefined;
	/**
	Whether a newer configuration than the one in force is there that cannot be read.
	*/
	readonly hasUnreadableConfiguration: () => boolean;
	readonly endpoints: () => readonly ServingEndpoint[];
	readonly nodes: () => readonly GatewayNode[];
	/**
	Takes over what has changed.
	*/
	readonly applyChanges: (changes: ClusterChanges, source: StateSource) => void;
	/**
	Takes over everything that a source holds; what it lacks was removed.
	*/
	readonly applyAll: (changes: ClusterChanges, source: StateSource) => void;
	/**
	Until that time, on the steady clock in milliseconds, removed endpoints count as lapsed and are kept.
	*/
	readonly setRemovalGraceUntil: (time: number) => void;
	/**
	Digest of all that is believed. At the same revision it shows whether two nodes believe the same, which the revision alone
	does not.
	*/
	readonly digest: () => number;
	/**
	Whether entries are kept that may only have lapsed.
	*/
	readonly hasPendingRemovals: () => boolean;
	/**
	What a peer is told: all, or what is newer than a revision where that is known for sure.
	*/
	readonly exportState: (isSteady: boolean, since?: number) => ClusterState;
	readonly importState: (state: ClusterState) => void;
	readonly close: () => void;
};
