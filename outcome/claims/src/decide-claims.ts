import type {ClaimResponse} from './claim-response.ts';
import type {ClaimDecision} from './claim-decision.ts';
import type {ClaimEntry} from './claim-entry.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {PendingClaim} from './pending-claim.ts';
import {toClaimDigest} from './to-claim-digest.ts';
import {toHeldResponse} from './to-held-response.ts';

type Step = {
	readonly answer: ClaimResponse;
	readonly entry: ClaimEntry | undefined;
};

type StepHandler = (question: ClaimRequest, digest: string, current: ClaimEntry | undefined) => Step;

const stepHandlers: Readonly<Record<PendingClaim['kind'], StepHandler>> = {
	claim(question, digest, current) {
		return current === undefined ? {answer: {kind: 'claimed'}, entry: toEntry(question, digest)} : {answer: current.r === question.requestId ? {kind: 'claimed'} : toHeldResponse(current), entry: undefined};
	},
	release(question, digest, current) {
		const entry: ClaimEntry | undefined = current?.r === question.requestId ? {...toEntry(question, digest), x: 1} : undefined;
		return {answer: {kind: 'free'}, entry};
	},
};

/**
 Decides a batch of claims and releases in order; later ones see what earlier ones of the batch did.

 @param batch - Claims and releases in the order in which they came.
 @param find - The claim in force on a digest before the batch.
 @example
 decideClaims(batch, () => undefined).entries.length; // one for each different key
 */
export function decideClaims(batch: readonly PendingClaim[], find: (digest: string) => ClaimEntry | undefined): ClaimDecision {
	const answers = new Map<PendingClaim, ClaimResponse>();
	const fresh = new Map<string, ClaimEntry>();
	for (const item of batch) {
		const digest = toClaimDigest(item.question.account, item.question.key);
		const known = fresh.get(digest) ?? find(digest);
		const {answer, entry} = stepHandlers[item.kind](item.question, digest, known?.x === 1 ? undefined : known);
		answers.set(item, answer);
		if (entry !== undefined) {
			fresh.set(digest, entry);
		}
	}

	return {responses: answers, entries: fresh.values().toArray()};
}

function toEntry(question: ClaimRequest, digest: string): ClaimEntry {
	return {
		k: digest, r: question.requestId, n: question.node, f: question.fingerprint, t: Date.now(),
	};
}
