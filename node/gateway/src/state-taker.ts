/**
Takes over what a peer believes.
*/
export type StateTaker = {
	/**
	Whether a peer may be asked: no other one that was asked still has time to answer, and it has answered itself.
	*/
	readonly canAsk: (node: string) => boolean;
	/**
	Asks for all that is newer than what is known here, or for all: a peer may believe something else of what both know.
	*/
	readonly ask: (node: string, what: 'newer' | 'all') => void;
};
