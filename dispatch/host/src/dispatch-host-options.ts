import type {Logger} from '@valvesaddle/logger';
import type {Membership} from '@valvesaddle/membership';
import type {Metrics} from '@valvesaddle/metrics';
import type {LoadReport} from '@valvesaddle/pool';
import type {Tracing} from '@valvesaddle/tracing';
import type {Configuration, Endpoint} from '@valvesaddle/types';

/**
Options of `createDispatchHost`.
*/
export type DispatchHostOptions = {
	readonly node: string;
	readonly membership: Membership;
	readonly configuration: () => Configuration;
	/**
	Requests the load of an engine; `undefined` if it is not reported.
	*/
	readonly readLoad: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	readonly loadPollMs: number;
	/**
	Time after the start of a dispatcher in which it grants only urgent requests, in milliseconds.
	*/
	readonly warmupMs: number;
	readonly grantLeaseMs: number;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
