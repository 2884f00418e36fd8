import type {Router, RouterAddresses} from '@valvesaddle/router';

/**
One node of a fleet.
*/
export type FleetNode = RouterAddresses & {
	readonly id: string;
	readonly router: Router;
};
