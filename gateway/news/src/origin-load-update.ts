import type {LoadNews} from '@valvesaddle/selection';

/**
News of the work of one node, or the sum of several that the node which tells it speaks for.
*/
export type OriginLoadUpdate = LoadNews & {
	readonly origin: string;
	/**
	Nodes whose work it stands for.
	*/
	readonly nodes: number;
};
