/**
Requests of one class in a load.
*/
export type LoadClass = {
	readonly className: string;
	/**
	Part of all requests.
	*/
	readonly part: number;
	/**
	Average length of an answer, in tokens; lengths follow an exponential distribution.
	*/
	readonly meanTokens: number;
	readonly firstTokenTargetMs: number;
	/**
	Arrivals are this many times as frequent between the two times.
	*/
	readonly burst?: {readonly factor: number; readonly fromMs: number; readonly toMs: number};
};
