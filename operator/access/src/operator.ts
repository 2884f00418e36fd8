import type {OperatorRole} from './operator-role.ts';

/**
An operator, authenticated by a token.
*/
export type Operator = {
	readonly name: string;
	readonly role: OperatorRole;
	/**
	SHA-256 of the token, hexadecimal.
	*/
	readonly tokenHash: string;
};
