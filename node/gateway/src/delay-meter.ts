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
	Forgets a link that is lost.
	*/
	readonly remove: (node: string) => void;
};
