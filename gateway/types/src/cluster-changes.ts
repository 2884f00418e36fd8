import type {ClusterChange} from './cluster-change.ts';

/**
The entries of the store, or its changes, up to a revision.
*/
export type ClusterChanges = {
	readonly revision: number;
	readonly changes: readonly ClusterChange[];
};
