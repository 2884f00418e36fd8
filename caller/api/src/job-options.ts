import type {AccessIndex} from '@valvesaddle/access';

/**
What building a job needs besides the request.
*/
export type JobOptions = {
	readonly node: string;
	readonly region: string;
	readonly access: AccessIndex;
};
