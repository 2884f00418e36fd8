import type {AnswerEnd} from '@valvesaddle/answers';
import type {ClaimResponse, ClaimClient, ClaimRequest} from '@valvesaddle/claims';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Result} from 'neverthrow';
import type {ClaimHolder} from './claim-holder.ts';

const unclaimed: ClaimHolder = {
	findOther: async () => undefined,
	claim: async () => undefined,
	async release() {
		// There is nothing to give back.
	},
};

/**
 Creates the claim of a request; without a question it is one that may run more than once and needs none.

 @example
 const held = await createClaimHolder(claims, question).claim();
 */
export function createClaimHolder(claims: ClaimClient, question: ClaimRequest | undefined): ClaimHolder {
	if (question === undefined) {
		return unclaimed;
	}

	let isHeld = false;
	return {
		findOther: async () => toEnd(await claims.find(question)),
		async claim() {
			if (isHeld) {
				return undefined;
			}

			const end = toEnd(await claims.claim(question));
			isHeld = end === undefined;
			return end;
		},
		async release() {
			if (!isHeld) {
				return;
			}

			isHeld = false;
			await claims.release(question);
		},
	};
}

function toEnd(answer: Result<ClaimResponse, ValvesaddleError>): AnswerEnd | undefined {
	if (answer.isErr()) {
		throw answer.error;
	}

	return answer.value.kind === 'held' ? answer.value : undefined;
}
