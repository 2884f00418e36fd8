import type {PoolStatus} from '@valvesaddle/pool';

/**
What a node tells operators of itself.
*/
export type NodeStatus = {
	readonly node: string;
	readonly revision: number;
	readonly state: string;
	readonly members: readonly string[];
	readonly pools: readonly PoolStatus[];
	readonly openRequests: number;
};
