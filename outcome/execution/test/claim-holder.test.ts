/*
Guards against a request that did not run and whose key cannot be used again.
*/
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import type {ClaimClient, ClaimRequest} from '@valvesaddle/claims';
import {ValvesaddleError} from '@valvesaddle/error';
import {createClaimHolder} from '../src/create-claim-holder.ts';

const request: ClaimRequest = {
	account: 'sawmill', key: 'permit-1', fingerprint: 'f', requestId: 'n1_1', node: 'n1',
};

function createClaims(part: Partial<ClaimClient>) {
	const released: ClaimRequest[] = [];
	const claims = {
		claim: () => okAsync({kind: 'claimed'}),
		release(claim: ClaimRequest) {
			released.push(claim);
			return okAsync({kind: 'free'});
		},
		...part,
	} as unknown as ClaimClient;
	return {claims, released};
}

test('a claim whose reply was lost is released, since it may have been recorded', async t => {
	const lost = new ValvesaddleError('ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', 'the replies were lost');
	const {claims, released} = createClaims({claim: () => errAsync(lost)});
	const holder = createClaimHolder(claims, request);
	await t.rejects(holder.claim(), lost);
	await holder.release();
	t.same(released, [request]);
});

test('a claim that another request holds is not released', async t => {
	const {claims, released} = createClaims({
		claim: () => okAsync({
			kind: 'held', requestId: 'n2_1', node: 'n2', fingerprint: 'f',
		}),
	});
	const holder = createClaimHolder(claims, request);
	t.match(await holder.claim(), {kind: 'held'});
	await holder.release();
	t.same(released, []);
});
