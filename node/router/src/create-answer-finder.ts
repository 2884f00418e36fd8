import type {AnswerSource, AnswerStore} from '@valvesaddle/answers';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Membership} from '@valvesaddle/membership';
import type {PeerNetwork} from '@valvesaddle/network';
import {callHolder} from './call-holder.ts';
import {createRemoteAnswer} from './create-remote-answer.ts';

const retryAfterMs = 1000;

type AnswerFinderOptions = {
	readonly node: string;
	readonly answers: AnswerStore;
	readonly membership: Membership;
	readonly network: PeerNetwork;
};

/**
Finds the source of an account's answer; `undefined` when no node holds it. Throws `ERR_VALVESADDLE_PEER_UNREACHABLE` when
the node that would hold it cannot be reached.
*/
type AnswerFinder = (requestId: string, account: string) => Promise<AnswerSource | undefined>;

/**
 Creates a finder of answers on this node or on the node whose id begins the request id.

 @example
 const source = await createAnswerFinder({node, answers, membership, network})('b1_5f', 'sawmill');
 */
export function createAnswerFinder({node, answers, membership, network}: AnswerFinderOptions): AnswerFinder {
	return async (requestId, account) => {
		const local = answers.find(requestId);
		if (local !== undefined) {
			return local.account === account ? local : undefined;
		}

		const holder = requestId.slice(0, requestId.lastIndexOf('_'));
		if (holder === node || membership.findAddress(holder) === undefined) {
			return undefined;
		}

		const probe = await callHolder({
			network, holder, requestId, account, offset: 0, replyOffset: 0, hasLeft: () => false,
		});
		if (probe.isErr() && probe.error.code === 'ERR_VALVESADDLE_PEER_UNREACHABLE') {
			throw new ValvesaddleError(probe.error.code, `the answer is on ${holder}, which cannot be reached`, {cause: probe.error, retryAfterMs});
		}

		return probe.isOk()
			? createRemoteAnswer({
				network, holder, requestId, account, first: probe.value,
			})
			: undefined;
	};
}
