import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClientAccount} from '@valvesaddle/types';
import type {AccessRequest} from './access-request.ts';
import type {Access} from './access.ts';

/**
Authenticates callers and resolves what they may use, under one configuration.
*/
export type AccessIndex = {
	/**
	Finds the client account of an `Authorization` header.
	*/
	readonly authenticate: (authorization: string | undefined) => Result<ClientAccount, ValvesaddleError>;
	/**
	Finds the pool and class for a request of a client account.
	*/
	readonly resolve: (request: AccessRequest) => Result<Access, ValvesaddleError>;
	/**
	Lists the engine models that a client account is bound to.
	*/
	readonly listModels: (account: string) => readonly string[];
};
