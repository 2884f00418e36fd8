import type {ClusterChange} from './cluster-change.ts';

/**
What the store holds or what has changed there, up to a revision.
*/
export type ClusterChanges = {
	readonly revision: number;
	readonly changes: readonly ClusterChange[];
};
