import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClientAccount} from '@valvesaddle/types';
import type {AccessRequest} from './access-request.ts';
import type {Access} from './access.ts';

/**
Finds out who calls and what they may use, under one configuration.
*/
export type AccessIndex = {
	/**
	Account of an `Authorization` header.
	*/
	readonly authenticate: (authorization: string | undefined) => Result<ClientAccount, ValvesaddleError>;
	/**
	Pool and class for a request of an account.
	*/
	readonly resolve: (request: AccessRequest) => Result<Access, ValvesaddleError>;
	/**
	Models that an account is bound to.
	*/
	readonly listModels: (account: string) => readonly string[];
};
