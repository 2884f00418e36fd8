import type {ClusterView} from '@valvesaddle/cluster-view';

/**
A change that was written to the store.
*/
export type WrittenChange = {
	readonly kind: string;
	readonly subject: string;
	readonly writtenAtMs: number;
	readonly isApplied: (view: ClusterView) => boolean;
};
