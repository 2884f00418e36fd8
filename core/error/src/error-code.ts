import type {errorTable} from './error-table.ts';

/**
Codes of `ValvesaddleError`.
*/
export type ErrorCode = keyof typeof errorTable;
