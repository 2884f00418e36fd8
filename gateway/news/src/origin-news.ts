import type {LoadNews} from '@valvesaddle/selection';

/**
News of the work of one node, or of a relay and the nodes that are linked to it.
*/
export type OriginNews = LoadNews & {
	readonly origin: string;
	/**
	Nodes whose work it stands for; 0 takes back all that was told of the origin.
	*/
	readonly nodes: number;
};
