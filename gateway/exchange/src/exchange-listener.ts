import type {IncomingHttpHeaders} from 'node:http';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Flow} from './flow.ts';

/**
Callbacks of an exchange. Exactly one of `onEnd` and `onFailure` is called, as the last one, unless the exchange is aborted.
*/
export type ExchangeListener = {
	/**
	Called just before the first byte is sent. From here on the endpoint may run the request.
	*/
	readonly onSent: () => void;
	readonly onHead: (status: number, headers: IncomingHttpHeaders) => void;
	/**
	Called with the bytes of the body that one read has brought, however many chunks they came in; return `pause` to receive no more
	until `resume` is called.
	*/
	readonly onData: (chunk: Uint8Array) => Flow;
	/**
	The response is read more slowly from now on, since its chunks cost more than they carry.
	*/
	readonly onSlowed?: () => void;
	/**
	The response is complete.
	*/
	readonly onEnd: () => void;
	/**
	Errors: `ERR_VALVESADDLE_ENDPOINT_NOT_RUN` when nothing was sent, `ERR_VALVESADDLE_ENDPOINT_FAILED` otherwise.
	*/
	readonly onFailure: (error: ValvesaddleError) => void;
};
