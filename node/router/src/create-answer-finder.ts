import type {AnswerSource, AnswerStore} from '@valvesaddle/answers';
import type {Membership} from '@valvesaddle/membership';
import type {PeerNetwork} from '@valvesaddle/network';
import {createRemoteAnswer} from './create-remote-answer.ts';

type AnswerFinderOptions = {
	readonly node: string;
	readonly answers: AnswerStore;
	readonly membership: Membership;
	readonly network: PeerNetwork;
};

/**
Finds the source of an account's answer; `undefined` when no reachable node holds it.
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

		const probe = await network.call(holder, 'answer.read', {requestId, account, offset: 0});
		return probe.isOk()
			? createRemoteAnswer({
				network, holder, requestId, account,
			})
			: undefined;
	};
}
