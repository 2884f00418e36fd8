/**
How reading prompts delays the tokens of streams beside it. Times are in milliseconds.
*/
export type PauseModel = {
	/**
	Sensitivity of a stream: how much of it is lost for one unit of harm.
	*/
	readonly toSensitivity: (pauseObjectiveMs: number) => number;
	/**
	Harm that reading for so long does, for each unit of sensitivity.
	*/
	readonly toHarm: (readMs: number, paceFactor: number) => number;
	/**
	Notes that an endpoint is to read for so long on end.
	*/
	readonly recordReading: (endpoint: string, readMs: number, paceFactor: number) => void;
	/**
	Notes a pause between pieces at an endpoint that was reading all the while.
	*/
	readonly recordPause: (pauseMs: number, paceFactor: number) => void;
	/**
	Notes how long a stream lasted.
	*/
	readonly recordStream: (milliseconds: number) => void;
	/**
	Harm that a stream may expect at an endpoint while it lasts, by what the endpoint read of late, for each unit of
	sensitivity.
	*/
	readonly predictHarm: (endpoint: string) => number;
	readonly removeEndpoint: (endpoint: string) => void;
	readonly pauseMs: () => number;
};
