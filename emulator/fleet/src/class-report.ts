/**
Outcomes of the requests of one class.
*/
export type ClassReport = {
	readonly asked: number;
	/**
	First event within the latency objective and no pause above the pause objective.
	*/
	readonly inTime: number;
	readonly firstLate: number;
	readonly pauseLate: number;
	/**
	Refused on the last attempt, and refused at least once.
	*/
	readonly refused: number;
	readonly turnedAway: number;
	readonly failed: number;
	/**
	Cancelled by callers that received no event for too long.
	*/
	readonly abandoned: number;
	/**
	Share of the maximum credit that was earned.
	*/
	readonly worth: number;
};
