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
Tries of one write, counting lost races and lost replies, before its claims are refused.
*/
const mostTries = 5;
const retryAfterMs = 2000;

/**
 Creates the writer of one claim shard. Claims that come while a write is under way share the next one.

 A write whose reply is lost is settled by reading the head back and writing again on the index that was read: either
 the first write is found there, or it can no longer take effect once the second one has.

 @example
 const answer = await shard.claim({account, key, fingerprint, requestId, node});
 */
export function createClaimShard(options: ClaimShardOptions): ClaimShard {
	const {metrics} = options;
	const journal = createClaimJournal(options);
	let pending: PendingClaim[] = [];
	let isWriting = false;
	let wroteAt = 0;

	async function writeBatch(batch: readonly PendingClaim[]): Promise<ReadonlyMap<PendingClaim, ClaimResponse>> {
		for (let attempt = 0; attempt < mostTries; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- a try follows on the one before
			await journal.update();
			const {responses: answers, entries} = decideClaims(batch, journal.find);
			// eslint-disable-next-line no-await-in-loop -- a try follows on the one before
			if (entries.length === 0 || await journal.append(entries)) {
				return answers;
			}
		}

		throw new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', `the claim could not be written in ${mostTries} tries`);
	}

	async function settleBatch(batch: readonly PendingClaim[]): Promise<void> {
		try {
			const answers = await writeBatch(batch);
			metrics.increment('claims.committed', batch.length);
			for (const item of batch) {
				item.settle(ok(answers.get(item) ?? {kind: 'free'}));
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
			const pauseMs = (wroteAt + options.writeIntervalMs) - Date.now();
			if (pauseMs > 0) {
				// eslint-disable-next-line no-await-in-loop -- bounds the rate of writes
				await delay(pauseMs);
			}

			wroteAt = Date.now();
			const batch = pending;
			pending = [];
			// eslint-disable-next-line no-await-in-loop -- one write at a time
			await settleBatch(batch);
		}

		journal.sweep();
		isWriting = false;
	}

	function addPending(kind: PendingClaim['kind'], question: ClaimRequest): ResultAsync<ClaimResponse, ValvesaddleError> {
		const {promise, resolve} = Promise.withResolvers<Result<ClaimResponse, ValvesaddleError>>();
		pending.push({kind, question, settle: resolve});
		void writePending();
		return new ResultAsync(promise);
	}

	async function find(question: ClaimRequest): Promise<ClaimResponse> {
		await journal.update();
		const entry = journal.find(toClaimDigest(question.account, question.key));
		return entry === undefined ? {kind: 'free'} : toHeldResponse(entry);
	}

	return {
		claim: question => addPending('claim', question),
		release: question => addPending('release', question),
		find: question => ResultAsync.fromPromise(find(question), toUnavailable),
		size: journal.size,
	};
}

function toUnavailable(thrown: unknown): ValvesaddleError {
	const cause = toValvesaddleError(thrown);
	return new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', `claims cannot be recorded: ${cause.message}`, {cause, retryAfterMs});
}
