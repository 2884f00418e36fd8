import type {LoadUpdate} from '@valvesaddle/selection';

/**
A load update of one node, or the sum over several nodes that the origin reports for.
*/
export type OriginLoadUpdate = LoadUpdate & {
	readonly origin: string;
	/**
	Number of nodes whose load it includes.
	*/
	readonly nodes: number;
};
