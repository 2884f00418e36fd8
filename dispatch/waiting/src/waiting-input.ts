/**
What it depends on whether a request goes on waiting. Times are in milliseconds.
*/
export type WaitingInput = {
	/**
	Whether its class is the most urgent one.
	*/
	readonly isUrgent: boolean;
	/**
	Whether it may not be refused for load: its caller has come back, or an endpoint has already worked on it.
	*/
	readonly isPromised: boolean;
	/**
	Whether it has waited for an eighth of its objective and was predicted to be in time then.
	*/
	readonly isHeld: boolean;
	/**
	How long it has waited.
	*/
	readonly waitedMs: number;
	/**
	Predicted time until it can be sent; 0 if there is room now.
	*/
	readonly roomInMs: number;
	/**
	Time that an endpoint needs for it.
	*/
	readonly serviceMs: number;
	readonly objectiveMs: number;
	/**
	Time left until the objective.
	*/
	readonly leftMs: number;
};
