import type {PoolKind} from '@valvesaddle/types';

/**
The pool and request class that a request asks for.
*/
export type AccessRequest = {
	readonly account: string;
	readonly kind: PoolKind;
	readonly model: string;
	/**
	Region of the node; pools in it are preferred.
	*/
	readonly region: string;
	/**
	Class that the caller requests; its priority may not be above that of the binding's default class.
	*/
	readonly className: string | undefined;
};
