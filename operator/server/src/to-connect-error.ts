import {Code, ConnectError} from '@connectrpc/connect';
import {toValvesaddleError, type ErrorCode} from '@valvesaddle/error';

const connectCodes: Readonly<Partial<Record<ErrorCode, Code>>> = {
	ERR_VALVESADDLE_CONFIGURATION_INVALID: Code.InvalidArgument,
	ERR_VALVESADDLE_CONFIGURATION_CONFLICT: Code.Aborted,
	ERR_VALVESADDLE_CONFIGURATION_UNKNOWN: Code.Unknown,
	ERR_VALVESADDLE_KV_UNAVAILABLE: Code.Unavailable,
	ERR_VALVESADDLE_NOT_FOUND: Code.NotFound,
	ERR_VALVESADDLE_OPERATOR_UNAUTHENTICATED: Code.Unauthenticated,
	ERR_VALVESADDLE_OPERATOR_FORBIDDEN: Code.PermissionDenied,
};

/**
 Converts an error to a Connect error. The message begins with the project's code and ends with its hint.

 @example
 toConnectError(error).code === Code.Aborted;
 */
export function toConnectError(thrown: unknown): ConnectError {
	const error = toValvesaddleError(thrown);
	return new ConnectError(`${error.code}: ${error.message}\nHint: ${error.traits.hint}`, connectCodes[error.code] ?? Code.Internal);
}
