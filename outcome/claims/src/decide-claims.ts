import type {ClaimResponse} from './claim-response.ts';
import type {ClaimDecision} from './claim-decision.ts';
import type {ClaimEntry} from './claim-entry.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {PendingClaim} from './pending-claim.ts';
import {toClaimDigest} from './to-claim-digest.ts';
import {toHeldResponse} from './to-held-response.ts';

type SingleDecision = {
	readonly response: ClaimResponse;
	readonly entry: ClaimEntry | undefined;
};

type KindHandler = (request: ClaimRequest, digest: string, current: ClaimEntry | undefined) => SingleDecision;

const kindHandlers: Readonly<Record<PendingClaim['kind'], KindHandler>> = {
	claim(request, digest, current) {
		return current === undefined ? {response: {kind: 'claimed'}, entry: toEntry(request, digest)} : {response: current.r === request.requestId ? {kind: 'claimed'} : toHeldResponse(current), entry: undefined};
	},
	release(request, digest, current) {
		const entry: ClaimEntry | undefined = current?.r === request.requestId ? {...toEntry(request, digest), x: 1} : undefined;
		return {response: {kind: 'free'}, entry};
	},
};

/**
 Decides a batch of claims and releases in order; each one sees the effect of those before it.

 @param batch - Claims and releases in order of arrival.
 @param find - Returns the claim in force for a digest before the batch.
 @example
 decideClaims(batch, () => undefined).entries.length; // one per key
 */
export function decideClaims(batch: readonly PendingClaim[], find: (digest: string) => ClaimEntry | undefined): ClaimDecision {
	const responses = new Map<PendingClaim, ClaimResponse>();
	const newEntries = new Map<string, ClaimEntry>();
	for (const item of batch) {
		const digest = toClaimDigest(item.request.account, item.request.key);
		const latest = newEntries.get(digest) ?? find(digest);
		const {response, entry} = kindHandlers[item.kind](item.request, digest, latest?.x === 1 ? undefined : latest);
		responses.set(item, response);
		if (entry !== undefined) {
			newEntries.set(digest, entry);
		}
	}

	return {responses, entries: newEntries.values().toArray()};
}

function toEntry(request: ClaimRequest, digest: string): ClaimEntry {
	return {
		k: digest, r: request.requestId, n: request.node, f: request.fingerprint, t: Date.now(),
	};
}
