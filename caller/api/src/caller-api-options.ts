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
	Finds an answer of this client account on any node; `undefined` when no node holds it. Throws
	`ERR_VALVESADDLE_PEER_UNREACHABLE` when the node that would hold it cannot be reached.
	*/
	readonly findAnswer: (requestId: string, account: string) => Promise<AnswerSource | undefined>;
	/**
	The error with which new requests are refused; `undefined` when they are admitted.
	*/
	readonly refusal: () => ValvesaddleError | undefined;
	/**
	Whether a load balancer should send new callers to this node.
	*/
	readonly isReady: () => boolean;
	/**
	Whether replies ask callers to close their connection.
	*/
	readonly isLeaving: () => boolean;
	/**
	Maximum size of a request body.
	*/
	readonly bodyBytes: number;
	readonly metrics: Metrics;
};
