/**
Takes over what a peer believes.
*/
export type StateTaker = {
	/**
	Whether a peer was asked and still has time to answer.
	*/
	readonly isAsking: () => boolean;
	readonly ask: (node: string) => void;
};
