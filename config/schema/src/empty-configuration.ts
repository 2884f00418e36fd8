import type {Configuration} from '@valvesaddle/types';

/**
A configuration with nothing in it, in force before the first accepted change.
*/
export const emptyConfiguration: Configuration = {
	classes: [], accounts: [], pools: [], endpoints: [], bindings: [],
};
