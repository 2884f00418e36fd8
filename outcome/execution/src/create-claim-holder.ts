import type {AnswerEnd} from '@valvesaddle/answers';
import type {ClaimResponse, ClaimClient, ClaimRequest} from '@valvesaddle/claims';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Result} from 'neverthrow';
import type {ClaimHolder} from './claim-holder.ts';

const noClaim: ClaimHolder = {
	findOther: async () => undefined,
	claim: async () => undefined,
	async release() {
		// No claim to release.
	},
};

/**
 Creates the claim of a request; without a claim request, the methods have no effect, since the request is repeatable.

 @example
 const end = await createClaimHolder(claims, request).claim();
 */
export function createClaimHolder(claims: ClaimClient, request: ClaimRequest | undefined): ClaimHolder {
	if (request === undefined) {
		return noClaim;
	}

	let isHeld = false;
	/**
	Whether the claim was sent and may have been recorded, although its reply was lost.
	*/
	let isPossiblyHeld = false;
	return {
		findOther: async () => toEnd(await claims.find(request)),
		async claim() {
			if (isHeld) {
				return undefined;
			}

			isPossiblyHeld = true;
			const end = toEnd(await claims.claim(request));
			isHeld = end === undefined;
			isPossiblyHeld = isHeld;
			return end;
		},
		async release() {
			if (!isPossiblyHeld) {
				return;
			}

			isHeld = false;
			isPossiblyHeld = false;
			await claims.release(request);
		},
	};
}

function toEnd(response: Result<ClaimResponse, ValvesaddleError>): AnswerEnd | undefined {
	if (response.isErr()) {
		throw response.error;
	}

	return response.value.kind === 'held' ? response.value : undefined;
}
