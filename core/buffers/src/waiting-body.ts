/**
A body that waits for room.
*/
export type WaitingBody = {
	readonly account: string;
	readonly urgency: number;
	/**
	Tries to hold the body; `false` while there is no room.
	*/
	readonly didHold: () => boolean;
	/**
	Ends the wait.
	*/
	readonly settle: (isHeld: boolean) => void;
};
