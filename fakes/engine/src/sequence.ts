import type {ServerResponse} from 'node:http';

/**
An answer under way.
*/
export type Sequence = {
	readonly response: ServerResponse;
	readonly priority: number;
	readonly arrivedAt: number;
	/**
	Number of the first token of this answer; above 0 when it resumes.
	*/
	readonly firstToken: number;
	readonly wanted: number;
	made: number;
	/**
	Steps that go by before the first token.
	*/
	prefillMs: number;
};
