/**
Memory that a peer told of an engine and that its open requests cannot hold.
*/
export type ImpossibleMemory = {
	readonly node: string;
	readonly incarnation: string;
	readonly toldTokens: number;
	readonly keptTokens: number;
};
