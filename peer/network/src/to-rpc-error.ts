import {createJSONRPCErrorResponse, type JSONRPCErrorResponse, type JSONRPCID} from 'json-rpc-2.0';
import {toValvesaddleError} from '@valvesaddle/error';

const serverError = -32_000;

/**
 Converts the error of a handler to a JSON-RPC error response with the error code in `data`.

 @example
 toRpcError(1, new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'no configuration yet'));
 */
export function toRpcError(id: JSONRPCID, thrown: unknown): JSONRPCErrorResponse {
	const {code, message, retryAfterMs} = toValvesaddleError(thrown);
	return createJSONRPCErrorResponse(id, serverError, message, {code, retryAfterMs});
}
