import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';

/**
A claim or release that waits for the next write.
*/
export type PendingClaim = {
	readonly kind: 'claim' | 'release';
	readonly request: ClaimRequest;
	readonly settle: (response: Result<ClaimResponse, ValvesaddleError>) => void;
};
