import type {LoadReport} from '@valvesaddle/pool';
import type {Configuration, Endpoint} from '@valvesaddle/types';

/**
Options of `createUncoordinatedClient`.
*/
export type UncoordinatedClientOptions = {
	readonly configuration: () => Configuration;
	/**
	Requests the load of an engine; `undefined` if it is not reported.
	*/
	readonly readLoad: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	readonly loadPollMs: number;
};
