export type {ErrorCode} from './error-code.ts';
export {isErrorCode} from './is-error-code.ts';
export type {ErrorTraits} from './error-traits.ts';
export type {ExecutionStatus} from './execution-status.ts';
export {errorTable} from './error-table.ts';
export {toValvesaddleError} from './to-valvesaddle-error.ts';
export {ValvesaddleError} from './valvesaddle-error.ts';
export {unwrapResult} from './unwrap-result.ts';
