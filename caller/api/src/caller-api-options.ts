import type {AccessIndex} from '@valvesaddle/access';
import type {AnswerSource} from '@valvesaddle/answers';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Executor} from '@valvesaddle/execution';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createCallerApi`.
*/
export type CallerApiOptions = {
	readonly node: string;
	readonly region: string;
	readonly host: string;
	readonly port: number;
	readonly executor: Executor;
	readonly access: () => AccessIndex;
	/**
	Where an answer is read; `undefined` when no node that can be reached holds it for this account.
	*/
	readonly findAnswer: (requestId: string, account: string) => Promise<AnswerSource | undefined>;
	/**
	Why new requests are refused at the moment; `undefined` when they are not.
	*/
	readonly refusal: () => ValvesaddleError | undefined;
	/**
	Whether a balancer should send new callers here.
	*/
	readonly isReady: () => boolean;
	/**
	Whether connections are told to close after their reply.
	*/
	readonly isLeaving: () => boolean;
	readonly bodyBytes: number;
	readonly metrics: Metrics;
};
