/**
Readers on other nodes of answers that this node holds.
*/
export type AnswerReaders = {
	/**
	Records that a peer's reader asks for a page.
	*/
	readonly start: (peer: string, requestId: string) => void;
	/**
	Records that it was sent a page.
	*/
	readonly finish: (peer: string, requestId: string, isLast: boolean) => void;
	/**
	Resolves when every reader was sent its last page or has been silent for too long.
	*/
	readonly wait: () => Promise<void>;
};
