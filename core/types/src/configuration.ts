import type {Binding} from './binding.ts';
import type {ClientAccount} from './client-account.ts';
import type {Endpoint} from './endpoint.ts';
import type {Pool} from './pool.ts';
import type {RequestClass} from './request-class.ts';

/**
The configuration that operators apply.
*/
export type Configuration = {
	readonly classes: readonly RequestClass[];
	readonly accounts: readonly ClientAccount[];
	readonly pools: readonly Pool[];
	readonly endpoints: readonly Endpoint[];
	readonly bindings: readonly Binding[];
};
