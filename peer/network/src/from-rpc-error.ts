import {JSONRPCErrorException} from 'json-rpc-2.0';
import * as z from 'zod';
import {isErrorCode, toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';

const dataSchema = z.object({code: z.string(), retryAfterMs: z.number().optional()});

/**
 Converts the failure of a JSON-RPC call to the error that the other node threw.

 @example
 fromRpcError(error).code; // 'ERR_VALVESADDLE_NOT_READY'
 */
export function fromRpcError(thrown: unknown): ValvesaddleError {
	if (!(thrown instanceof JSONRPCErrorException)) {
		return toValvesaddleError(thrown);
	}

	const data = dataSchema.safeParse(thrown.data);
	if (!data.success || !isErrorCode(data.data.code)) {
		return new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', thrown.message, {cause: thrown});
	}

	const {code, retryAfterMs} = data.data;
	return new ValvesaddleError(code, thrown.message, retryAfterMs === undefined ? {cause: thrown} : {cause: thrown, retryAfterMs});
}
