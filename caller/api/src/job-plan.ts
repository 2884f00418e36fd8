import type {Job} from '@valvesaddle/execution';

/**
A job, and how its answer is written.
*/
export type JobPlan = {
	readonly job: Job;
	/**
	Model as the caller named it.
	*/
	readonly model: string;
	readonly isStreamed: boolean;
};
