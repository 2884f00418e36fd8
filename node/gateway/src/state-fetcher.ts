/**
Takes over what a peer believes.
*/
export type StateFetcher = {
	/**
	Whether a peer may be asked: no other one that was asked still has time to answer, and it has answered itself.
	*/
	readonly canRead: (node: string) => boolean;
	/**
	Asks for all that is newer than what is known here, or for all: a peer may believe something else of what both know.
	*/
	readonly startRead: (node: string, what: 'newer' | 'all') => void;
};
