import type {AcquireReply, AcquireRequest} from '@valvesaddle/messages';

/**
A request that waits for a grant.
*/
export type WaitingRequest = {
	readonly request: AcquireRequest;
	readonly settle: (reply: AcquireReply) => void;
};
