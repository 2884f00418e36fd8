/**
How prefill delays the tokens of open streams at the endpoints of a pool. Times are in milliseconds. Speed factors are relative to
the pool's median.
*/
export type PauseModel = {
	/**
	Sensitivity of a stream: the expected share of it that is late for one unit of interference.
	*/
	readonly toSensitivity: (pauseObjectiveMs: number) => number;
	/**
	Interference by a prefill of this duration, for each unit of sensitivity.
	*/
	readonly toInterference: (prefillMs: number, speedFactor: number) => number;
	/**
	Records that an endpoint gets a prefill of this duration.
	*/
	readonly recordPrefill: (endpoint: string, prefillMs: number, speedFactor: number) => void;
	/**
	Records a pause between chunks at an endpoint that was prefilling all the time.
	*/
	readonly recordPause: (pauseMs: number, speedFactor: number) => void;
	/**
	Records the duration of a stream.
	*/
	readonly recordStream: (milliseconds: number) => void;
	/**
	Expected interference with a new stream at an endpoint over its whole duration, by the endpoint's recent prefill, for each
	unit of sensitivity.
	*/
	readonly predictInterference: (endpoint: string) => number;
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	Longest pause that prefill causes; infinite until enough pauses are recorded.
	*/
	readonly getLongestPauseMs: () => number;
};
