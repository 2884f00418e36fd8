import type {IncomingHttpHeaders} from 'node:http';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Flow} from './flow.ts';

/**
Is told what happens to an exchange. `onEnd` or `onFailure` comes last, and only one of them.
*/
export type ExchangeListener = {
	/**
	The first byte is about to go out: from here on the request may run.
	*/
	readonly onSent: () => void;
	readonly onHead: (status: number, headers: IncomingHttpHeaders) => void;
	/**
	A piece of the body; `pause` asks for no more until `resume` is called.
	*/
	readonly onData: (chunk: Uint8Array) => Flow;
	/**
	The answer is whole.
	*/
	readonly onEnd: () => void;
	/**
	Errors: `ERR_VALVESADDLE_ENDPOINT_NOT_RUN` when nothing went out, `ERR_VALVESADDLE_ENDPOINT_FAILED` otherwise.
	*/
	readonly onFailure: (error: ValvesaddleError) => void;
};
