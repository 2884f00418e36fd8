import type {PoolStatus} from '@valvesaddle/pool';

/**
Status of a node, for operators.
*/
export type NodeStatus = {
	readonly node: string;
	readonly revision: number;
	readonly state: string;
	readonly members: readonly string[];
	readonly pools: readonly PoolStatus[];
	readonly openRequests: number;
};
