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
Nodes called for one claim before it is refused.
*/
const maximumOwners = 3;
const digestBase = 64;

/**
 Creates the claim client of a node, which also contains the shard writers that the node owns. One owner a shard only
 saves writes: correctness depends on the compare-and-swap alone.

 @example
 const response = await claims.claim({account, key, fingerprint, requestId, node});
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

	async function callOwner(owner: string, method: Method, request: ClaimRequest): Promise<Result<ClaimResponse, ValvesaddleError>> {
		if (owner === options.node) {
			return getShard(findShardNumber(request))[method](request);
		}

		const result = await options.network.call(owner, `claims.${method}`, request);
		return result.andThen(value => {
			const response = claimResponseSchema.safeParse(value);
			return response.success ? ok(response.data) : err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'the answer to a claim has an unknown form'));
		});
	}

	async function callOwners(method: Method, request: ClaimRequest): Promise<Result<ClaimResponse, ValvesaddleError>> {
		const shardName = `claims/${findShardNumber(request)}`;
		for (const owner of rankOwners(shardName, options.membership.routers()).slice(0, maximumOwners)) {
			// eslint-disable-next-line no-await-in-loop -- the next owner is called only after the previous one failed
			const result = await callOwner(owner, method, request);
			if (result.isOk() || result.error.code !== 'ERR_VALVESADDLE_PEER_UNREACHABLE') {
				return result;
			}

			options.membership.suspect(owner);
		}

		return err(new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', 'no node that writes claims could be reached'));
	}

	const toResult = (method: Method) => (request: ClaimRequest): ResultAsync<ClaimResponse, ValvesaddleError> =>
		new ResultAsync(callOwners(method, request).catch((error: unknown) => err(toValvesaddleError(error))));

	return {
		claim: toResult('claim'),
		release: toResult('release'),
		find: toResult('find'),
		async serve(method, request) {
			return unwrapResult(await getShard(findShardNumber(request))[method](request));
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
