import type {AccessIndex} from '@valvesaddle/access';

/**
Options of the job builders.
*/
export type JobOptions = {
	readonly node: string;
	readonly region: string;
	readonly access: AccessIndex;
};
