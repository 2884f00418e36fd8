import type {IncomingMessage} from 'node:http';
import type {ClientAccount} from '@valvesaddle/types';

/**
A request whose client account is known.
*/
export type Caller = {
	readonly request: IncomingMessage;
	readonly account: ClientAccount;
};
