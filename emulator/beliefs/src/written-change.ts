import type {ClusterView} from '@valvesaddle/cluster-view';

/**
A change that the store has acknowledged.
*/
export type WrittenChange = {
	readonly kind: string;
	readonly subject: string;
	readonly writtenAtMs: number;
	readonly isApplied: (view: ClusterView) => boolean;
};
