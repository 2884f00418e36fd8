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
Finds where an answer of an account can be read; `undefined` when no node that can be reached holds it.
*/
type AnswerFinder = (requestId: string, account: string) => Promise<AnswerSource | undefined>;

/**
 Creates the finder of answers: on this node, or on the one whose name the request id begins with.

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
