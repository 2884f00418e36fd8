import type {AcquireRequest} from '@valvesaddle/messages';

/**
What a request asks for; the client fills in the rest of the message.
*/
export type AcquireParameters = Omit<AcquireRequest, 'duty' | 'node' | 'dataCentre' | 'waitedMs' | 'admitted' | 'skipped' | 'forced'> & {
	readonly pool: string;
	/**
	When the request first began to wait, in milliseconds since the epoch.
	*/
	readonly arrivedAt: number;
	/**
	Whether the request held a grant before.
	*/
	readonly resumes: boolean;
};
