import type {LoadReport} from '@valvesaddle/pool';
import type {Configuration, Endpoint} from '@valvesaddle/types';

/**
Options of `createAloneClient`.
*/
export type UncoordinatedClientOptions = {
	readonly configuration: () => Configuration;
	readonly readLoad: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	readonly loadPollMs: number;
};
