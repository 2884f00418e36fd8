import type {Job} from '@valvesaddle/execution';

/**
A job and the form of its reply.
*/
export type JobPlan = {
	readonly job: Job;
	/**
	Model as the caller named it.
	*/
	readonly model: string;
	readonly isStreamed: boolean;
};
