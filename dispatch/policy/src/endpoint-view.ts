import type {EndpointMemory} from './endpoint-memory.ts';
import type {EndpointState} from './endpoint-state.ts';

/**
State of an endpoint at its dispatcher.
*/
export type EndpointView = {
	readonly id: string;
	readonly url: string;
	readonly dataCentre: string;
	readonly state: EndpointState;
	/**
	Concurrency limit, adjusted to the observed time between tokens.
	*/
	readonly limit: number;
	/**
	Requests granted and not yet released.
	*/
	readonly inFlight: number;
	/**
	Requests in flight in urgent classes.
	*/
	readonly urgentInFlight: number;
	/**
	Reported requests that this dispatcher did not grant; decays between reports.
	*/
	readonly external: number;
	/**
	Moving averages of the time to the first token and between tokens; `undefined` before the first sample.
	*/
	readonly firstTokenMs: number | undefined;
	readonly interTokenMs: number | undefined;
	/**
	Time of the last change of `limit` and end of the last ejection, in milliseconds since the epoch.
	*/
	readonly limitChangedAt: number;
	readonly ejectedUntil: number;
	/**
	End of the last requested cooldown, in milliseconds of the monotonic clock; 0 if none was requested.
	*/
	readonly cooldownUntil: number;
	/**
	Recent ejections; each doubles the duration of the next.
	*/
	readonly ejections: number;
	/**
	Consecutive failures.
	*/
	readonly failures: number;
	/**
	`undefined` if the configuration does not state it.
	*/
	readonly memory?: EndpointMemory | undefined;
};
