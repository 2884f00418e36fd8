import type {PoolKind} from '@valvesaddle/types';

/**
What a request wants to use.
*/
export type AccessRequest = {
	readonly account: string;
	readonly kind: PoolKind;
	readonly model: string;
	/**
	Region of the node; a pool there goes before pools elsewhere.
	*/
	readonly region: string;
	/**
	Class that the caller asks for; may only lower the binding's default.
	*/
	readonly className: string | undefined;
};
