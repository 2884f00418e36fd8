import type {Configuration} from '@valvesaddle/types';

/**
The configuration before the first accepted change.
*/
export const emptyConfiguration: Configuration = {
	classes: [], accounts: [], pools: [], endpoints: [], bindings: [],
};
