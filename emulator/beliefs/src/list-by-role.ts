import type {GatewayNode} from '@valvesaddle/gateway-types';
import {planOverlay} from '@valvesaddle/overlay';
import type {PropagationTarget} from './propagation-target.ts';

type RoleOptions = {
	readonly role: PropagationTarget['role'];
	readonly meshNodes: number;
};

/**
 Lists the nodes with a role in the overlay.

 @example
 listByRole(nodes, {role: 'follower', meshNodes: 16}); // ['n-3.5e1f', 'n-8.07ca']
 */
export function listByRole(nodes: readonly GatewayNode[], {role, meshNodes}: RoleOptions): readonly string[] {
	const {relays, followers} = planOverlay(nodes, {meshNodes});
	const roleHandlers: Readonly<Record<PropagationTarget['role'], () => readonly string[]>> = {
		follower: () => [...followers],
		relay: () => relays.keys().filter(id => !followers.has(id)).toArray(),
		member: () => nodes.map(({id}) => id).filter(id => !relays.has(id)),
	};
	return roleHandlers[role]();
}
