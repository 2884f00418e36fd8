/**
Tells how long messages of peers were under way.
*/
export type DelayMeter = {
	/**
	Takes in a message's time of sending, on its sender's steady clock; returns how much longer than the quickest one on that
	link it was under way, in milliseconds.
	*/
	readonly measure: (node: string, sentAt: number) => number;
	/**
	What the last message of a node spent waiting, in milliseconds; what it sends besides comes in the same stream.
	*/
	readonly get: (node: string) => number;
	/**
	Forgets a link that is lost: the next one may go another way, and the clock of the machine may have stood still.
	*/
	readonly remove: (node: string) => void;
};
