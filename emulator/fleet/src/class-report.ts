/**
What became of the requests of one class.
*/
export type ClassReport = {
	readonly asked: number;
	/**
	First event within the objective and no pause over its own.
	*/
	readonly inTime: number;
	readonly firstLate: number;
	readonly pauseLate: number;
	/**
	Refused for good, and refused at least once.
	*/
	readonly refused: number;
	readonly turnedAway: number;
	readonly failed: number;
	/**
	Left by callers that saw no first event for too long.
	*/
	readonly abandoned: number;
	/**
	Credit earned against credit owed.
	*/
	readonly worth: number;
};
