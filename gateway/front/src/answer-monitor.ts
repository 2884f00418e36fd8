import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Interruption} from '@valvesaddle/forwarding';

/**
Reports the answers that end before they are complete.
*/
export type AnswerMonitor = {
	/**
	Watches the answer to a request until its connection has taken all of it, or is closed.
	*/
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	/**
	Records why the node is about to end an answer.
	*/
	readonly markInterrupted: (response: ServerResponse, interruption: Interruption) => void;
	/**
	Records why the node is about to end all open answers.
	*/
	readonly markAllInterrupted: (interruption: Interruption) => void;
};
