import type {EndpointState} from './endpoint-state.ts';

/**
An endpoint as its dispatcher sees it.
*/
export type EndpointView = {
	readonly id: string;
	readonly url: string;
	readonly dataCentre: string;
	readonly state: EndpointState;
	/**
	Learned limit of concurrent requests.
	*/
	readonly limit: number;
	/**
	Requests granted and not yet released.
	*/
	readonly inFlight: number;
	/**
	Those of them in urgent classes.
	*/
	readonly urgentInFlight: number;
	/**
	Requests of others that the endpoint reported, decayed since.
	*/
	readonly external: number;
	/**
	Averages in milliseconds; `undefined` before the first sample.
	*/
	readonly firstTokenMs: number | undefined;
	readonly interTokenMs: number | undefined;
	/**
	Times of the last changes, in milliseconds since the epoch.
	*/
	readonly limitChangedAt: number;
	readonly ejectedUntil: number;
	/**
	End of the time for which it asked for no requests, in milliseconds on the steady clock; 0 when it did not ask.
	*/
	readonly cooldownUntil: number;
	/**
	Ejections in a row; sets the next one's length.
	*/
	readonly ejections: number;
	/**
	Failures in a row.
	*/
	readonly failures: number;
};
