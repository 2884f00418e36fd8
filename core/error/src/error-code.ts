import type {errorTable} from './error-table.ts';

/**
Every error code of the project.
*/
export type ErrorCode = keyof typeof errorTable;
