import {
	err,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {toValvesaddleError, unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {rankOwners} from '@valvesaddle/ownership';
import type {ClaimResponse} from './claim-response.ts';
import {claimResponseSchema} from './claim-response-schema.ts';
import type {ClaimClient} from './claim-client.ts';
import type {ClaimClientOptions} from './claim-client-options.ts';
import type {ClaimRequest} from './claim-request.ts';
import type {ClaimShard} from './claim-shard.ts';
import {createClaimShard} from './create-claim-shard.ts';
import {toClaimDigest} from './to-claim-digest.ts';

type Method = Parameters<ClaimClient['serve']>[0];

/**
Nodes asked for one claim before it is refused.
*/
const mostOwners = 3;
const digestBase = 64;

/**
 Creates the claim client of a node, which also carries the shard writers that fall to the node. Which node writes is
 only a matter of sharing writes: safety comes from the compare-and-swap alone.

 @example
 const answer = await claims.claim({account, key, fingerprint, requestId, node});
 */
export function createClaimClient(options: ClaimClientOptions): ClaimClient {
	const shards = new Map<number, ClaimShard>();

	function getShard(number: number): ClaimShard {
		const shard = shards.get(number) ?? createClaimShard({...options, shard: number});
		shards.set(number, shard);
		return shard;
	}

	function findShardNumber({account, key}: ClaimRequest): number {
		const digest = toClaimDigest(account, key);
		return (((digest.codePointAt(0) ?? 0) * digestBase) + (digest.codePointAt(1) ?? 0)) % options.shards;
	}

	async function askOwner(owner: string, method: Method, question: ClaimRequest): Promise<Result<ClaimResponse, ValvesaddleError>> {
		if (owner === options.node) {
			return getShard(findShardNumber(question))[method](question);
		}

		const result = await options.network.call(owner, `claims.${method}`, question);
		return result.andThen(value => {
			const answer = claimResponseSchema.safeParse(value);
			return answer.success ? ok(answer.data) : err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'the answer to a claim has an unknown form'));
		});
	}

	async function ask(method: Method, question: ClaimRequest): Promise<Result<ClaimResponse, ValvesaddleError>> {
		const duty = `claims/${findShardNumber(question)}`;
		for (const owner of rankOwners(duty, options.membership.routers()).slice(0, mostOwners)) {
			// eslint-disable-next-line no-await-in-loop -- the next owner is asked after the one before failed
			const result = await askOwner(owner, method, question);
			if (result.isOk() || result.error.code !== 'ERR_VALVESADDLE_PEER_UNREACHABLE') {
				return result;
			}

			options.membership.suspect(owner);
		}

		return err(new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', 'no node that writes claims could be reached'));
	}

	const toResult = (method: Method) => (question: ClaimRequest): ResultAsync<ClaimResponse, ValvesaddleError> =>
		new ResultAsync(ask(method, question).catch((error: unknown) => err(toValvesaddleError(error))));

	return {
		claim: toResult('claim'),
		release: toResult('release'),
		find: toResult('find'),
		async serve(method, question) {
			return unwrapResult(await getShard(findShardNumber(question))[method](question));
		},
		size() {
			let sum = 0;
			for (const shard of shards.values()) {
				sum += shard.size();
			}

			return sum;
		},
	};
}
