/**
Takes over what a peer believes.
*/
export type StateTaker = {
	/**
	Whether a peer may be asked: no other one that was asked still has time to answer, and it has answered itself.
	*/
	readonly canAsk: (node: string) => boolean;
	readonly ask: (node: string) => void;
};
