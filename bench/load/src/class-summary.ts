/**
How one class fared.
*/
export type ClassSummary = {
	readonly className: string;
	readonly requests: number;
	/**
	Complete answers with first token and pace within target, over all requests.
	*/
	readonly attainment: number;
	readonly refused: number;
	readonly failed: number;
	readonly firstTokenP50: number;
	readonly firstTokenP99: number;
	/**
	Longest first token of any complete answer, in milliseconds.
	*/
	readonly worstWaitMs: number;
	readonly complete: number;
};
