/**
Measures the delay of messages from peers.
*/
export type DelayMeter = {
	/**
	Records a message by its sending time on its sender's monotonic clock; returns its delay above the quickest message on that
	link, in milliseconds.
	*/
	readonly measure: (node: string, sentAt: number) => number;
	/**
	Delay of a node's last measured message, in milliseconds; its other messages arrive on the same connection.
	*/
	readonly get: (node: string) => number;
	/**
	Removes a lost link: the next one may take another route, and the clock of a suspended VM may have stopped.
	*/
	readonly remove: (node: string) => void;
};
