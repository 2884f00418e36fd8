import {hash} from 'node:crypto';

const digits = 8;
const radix = 16;

/**
 Picks the node that owns a permit, the same on every node that knows the same nodes.

 @param key - Identifies the permit.
 @param nodes - IDs of the nodes, sorted.
 @example
 pickPermitOwner('i-7f 1204', ['n1', 'n2']); // 'n1' or 'n2'
 */
export function pickPermitOwner(key: string, nodes: readonly string[]): string | undefined {
	return nodes[Number.parseInt(hash('md5', key).slice(0, digits), radix) % nodes.length];
}
