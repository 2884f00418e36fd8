import {setTimeout as delay} from 'node:timers/promises';
import {
	err,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {ClaimShard} from './claim-shard.ts';
import type {ClaimShardOptions} from './claim-shard-options.ts';
import {createClaimJournal} from './create-claim-journal.ts';
import {decideClaims} from './decide-claims.ts';
import type {PendingClaim} from './pending-claim.ts';
import {toClaimDigest} from './to-claim-digest.ts';
import {toHeldResponse} from './to-held-response.ts';

/**
Attempts to write a batch, including lost races and lost replies, before its claims are refused.
*/
const maximumAttempts = 5;
const retryAfterMs = 2000;

/**
 Creates the writer of one claim shard. Claims that arrive during a write share the next one.

 After a lost reply the head is read again and the write repeated with the index read: either the head already contains
 the first write, or the first write fails its compare-and-swap once the second one succeeds.

 @example
 const response = await shard.claim({account, key, fingerprint, requestId, node});
 */
export function createClaimShard(options: ClaimShardOptions): ClaimShard {
	const {metrics} = options;
	const journal = createClaimJournal(options);
	let pending: PendingClaim[] = [];
	let isWriting = false;
	let lastWriteAt = 0;

	async function writeBatch(batch: readonly PendingClaim[]): Promise<ReadonlyMap<PendingClaim, ClaimResponse>> {
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await journal.update();
			const {responses, entries} = decideClaims(batch, journal.find);
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			if (entries.length === 0 || await journal.append(entries)) {
				return responses;
			}
		}

		throw new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', `the claim could not be written in ${maximumAttempts} tries`);
	}

	async function settleBatch(batch: readonly PendingClaim[]): Promise<void> {
		try {
			const responses = await writeBatch(batch);
			metrics.increment('claims.committed', batch.length);
			for (const item of batch) {
				item.settle(ok(responses.get(item) ?? {kind: 'free'}));
			}
		} catch (error) {
			const failure = toUnavailable(error);
			for (const {settle} of batch) {
				settle(err(failure));
			}
		}
	}

	async function writePending(): Promise<void> {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (pending.length > 0) {
			const waitMs = (lastWriteAt + options.writeIntervalMs) - Date.now();
			if (waitMs > 0) {
				// eslint-disable-next-line no-await-in-loop -- bounds the rate of writes
				await delay(waitMs);
			}

			lastWriteAt = Date.now();
			const batch = pending;
			pending = [];
			// eslint-disable-next-line no-await-in-loop -- one write at a time
			await settleBatch(batch);
		}

		journal.sweep();
		isWriting = false;
	}

	function addPending(kind: PendingClaim['kind'], request: ClaimRequest): ResultAsync<ClaimResponse, ValvesaddleError> {
		const {promise, resolve} = Promise.withResolvers<Result<ClaimResponse, ValvesaddleError>>();
		pending.push({kind, request, settle: resolve});
		void writePending();
		return new ResultAsync(promise);
	}

	async function find(request: ClaimRequest): Promise<ClaimResponse> {
		await journal.update();
		const entry = journal.find(toClaimDigest(request.account, request.key));
		return entry === undefined ? {kind: 'free'} : toHeldResponse(entry);
	}

	return {
		claim: request => addPending('claim', request),
		release: request => addPending('release', request),
		find: request => ResultAsync.fromPromise(find(request), toUnavailable),
		size: journal.size,
	};
}

function toUnavailable(thrown: unknown): ValvesaddleError {
	const cause = toValvesaddleError(thrown);
	return new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', `claims cannot be recorded: ${cause.message}`, {cause, retryAfterMs});
}
