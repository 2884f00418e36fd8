import type {AcquireRequest} from '@valvesaddle/messages';

/**
Parameters of a request for a grant. The client adds the other fields of the message.
*/
export type AcquireParameters = Omit<AcquireRequest, 'duty' | 'node' | 'dataCentre' | 'waitedMs' | 'admitted' | 'skipped' | 'forced'> & {
	readonly pool: string;
	/**
	Time at which the request first started to wait, in milliseconds on the monotonic clock.
	*/
	readonly arrivedAt: number;
	/**
	Whether the request has held a grant before.
	*/
	readonly resumes: boolean;
};
