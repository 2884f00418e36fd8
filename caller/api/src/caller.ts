import type {IncomingMessage} from 'node:http';
import type {ClientAccount} from '@valvesaddle/types';

/**
A request and its authenticated client account.
*/
export type Caller = {
	readonly request: IncomingMessage;
	readonly account: ClientAccount;
};
