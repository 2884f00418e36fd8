import type {FleetNodes} from './fleet-nodes.ts';
import {pickPermitOwner} from './pick-permit-owner.ts';
import type {RequestLimits} from './request-limits.ts';

const msPerSecond = 1000;
/**
Time for which a node may keep a permit that it has not used, in milliseconds, if the next one does not come later.
*/
const permitLifetimeMs = 1000;
/**
Slots per second at most; in larger limits a slot holds several permits.
*/
const maximumSlotsPerSecond = 20;
/**
Smaller limits count as this one, so that an endpoint that takes no requests for now is asked again.
*/
const minimumPerSecond = 0.2;
/**
Change of a limit, as a share, up to which its slots stay as they are. New slots begin without permits.
*/
const toleratedChange = 0.1;

type Limit = {
	readonly perSecond: number;
	readonly permitsPerSlot: number;
	readonly slotMs: number;
	/**
	Slots that begin earlier are not used: what this node sent in them is not known.
	*/
	readonly startedAt: number;
	/**
	Permits used of each slot that is still valid.
	*/
	readonly used: Map<number, number>;
};

function createLimit(perSecond: number, startedAt: number): Limit {
	const bounded = Math.max(minimumPerSecond, perSecond);
	const permitsPerSlot = Math.ceil(bounded / maximumSlotsPerSecond);
	return {
		perSecond, permitsPerSlot, slotMs: msPerSecond * permitsPerSlot / bounded, startedAt, used: new Map(),
	};
}

/**
 Creates the table of the limits that endpoints name. Time is divided into slots with one permit each, and each slot belongs to one
 node by a hash of endpoint and slot. All nodes agree on it without a message, also while they cannot reach each other, and the sum
 over all nodes stays below the limit, however many there are.

 @param fleet - Nodes of the fleet; without it the node is alone.
 @param toUnixTime - Converts a time on the monotonic clock to Unix milliseconds, on which the slots of all nodes are aligned.
 @example
 const limits = createRequestLimits({self: 'n1', list: () => ['n1', 'n2']}, at => startedAt + at);
 limits.didSet('i-7f', 3.2);
 limits.takePermit('i-7f'); // 'granted' or 'denied'
 */
export function createRequestLimits(fleet: FleetNodes, toUnixTime: (at: number) => number): RequestLimits {
	const limits = new Map<string, Limit>();
	let known: readonly string[] = [];
	let sorted: readonly string[] = [];

	/**
	The list is sorted again only when it is another one.
	*/
	function listNodes(): readonly string[] {
		const nodes = fleet.list();
		if (nodes.length !== known.length || nodes.some((node, index) => node !== known[index])) {
			known = nodes;
			sorted = nodes.toSorted();
		}

		return sorted;
	}

	/**
	The oldest slot of this node with a permit that is still valid.
	*/
	function findSlot(incarnation: string, limit: Limit): number | undefined {
		const now = toUnixTime(performance.now());
		const lifetimeMs = Math.max(permitLifetimeMs, limit.slotMs);
		const newest = Math.floor(now / limit.slotMs);
		const oldest = Math.ceil(Math.max(limit.startedAt, now - lifetimeMs) / limit.slotMs);
		for (const slot of limit.used.keys()) {
			if (slot < oldest) {
				limit.used.delete(slot);
			}
		}

		const nodes = listNodes();
		for (let slot = oldest; slot <= newest; slot++) {
			const isFree = (limit.used.get(slot) ?? 0) < limit.permitsPerSlot;
			if (isFree && pickPermitOwner(`${incarnation} ${slot}`, nodes) === fleet.self) {
				return slot;
			}
		}

		return undefined;
	}

	return {
		didSet(incarnation, perSecond) {
			const before = limits.get(incarnation);
			if (perSecond === undefined) {
				return limits.delete(incarnation);
			}

			if (before !== undefined && Math.abs(perSecond - before.perSecond) <= toleratedChange * before.perSecond) {
				return false;
			}

			const startedAt = toUnixTime(performance.now());
			limits.set(incarnation, createLimit(perSecond, startedAt));
			return true;
		},
		hasPermit(incarnation) {
			const limit = limits.get(incarnation);
			return limit === undefined || findSlot(incarnation, limit) !== undefined;
		},
		takePermit(incarnation) {
			const limit = limits.get(incarnation);
			if (limit === undefined) {
				return 'unlimited';
			}

			const slot = findSlot(incarnation, limit);
			if (slot === undefined) {
				return 'denied';
			}

			limit.used.set(slot, (limit.used.get(slot) ?? 0) + 1);
			return 'granted';
		},
		getWaitMs(incarnation) {
			const limit = limits.get(incarnation);
			return limit === undefined || findSlot(incarnation, limit) !== undefined ? 0 : limit.slotMs;
		},
	};
}
