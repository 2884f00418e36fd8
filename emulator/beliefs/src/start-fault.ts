import type {FaultTools} from './fault-tools.ts';
import type {SpreadingFault} from './spreading-fault.ts';

type FaultHandlers = {
	readonly [Kind in SpreadingFault['kind']]: (fault: Extract<SpreadingFault, {readonly kind: Kind}>, tools: FaultTools) => void;
};

const faultHandlers: FaultHandlers = {
	'store-quiet'(fault, {store, runtime}) {
		store.setQuiet(true);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setQuiet(false);
		});
	},
	'store-down'(fault, {store, runtime, listNodes}) {
		store.setTreatment(fault.how, new Set(listNodes()));
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setTreatment('served', new Set(listNodes()));
		});
	},
	'store-slow'(fault, {store, runtime}) {
		store.setSlowness(fault.addedMs);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setSlowness(0);
		});
	},
	'store-refuses'(fault, {store, runtime, random, listNodes, listFollowers}) {
		const {share} = fault;
		const refused = new Set(share === 'followers' ? listFollowers() : listNodes().filter(() => random() < share));
		store.setTreatment(fault.how, refused);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setTreatment('served', refused);
		});
	},
	'node-lost'(fault, {findTarget, endNode}) {
		endNode(findTarget(fault.target), fault.how);
	},
	'node-restarted'(fault, {runtime, findTarget, endNode, startAgain}) {
		const node = findTarget(fault.target);
		endNode(node, 'reset');
		runtime.add(fault.atMs + fault.forMs, () => {
			startAgain(node);
		});
	},
	'links-lost'(fault, {hub, findTarget}) {
		hub.endLinks(findTarget(fault.target), fault.how);
	},
	'links-cut'(fault, {hub, runtime}) {
		hub.setCut(fault.between, true);
		runtime.add(fault.atMs + fault.forMs, () => {
			hub.setCut(fault.between, false);
		});
	},
	'state-unanswered'(fault, {findTarget, setStateUnanswered}) {
		setStateUnanswered(findTarget(fault.target));
	},
};

/**
 Starts a fault, and plans its end.

 @example
 startFault({kind: 'store-slow', atMs: 0, forMs: 900, addedMs: 300}, tools);
 */
export function startFault(fault: SpreadingFault, tools: FaultTools): void {
	const handle = faultHandlers[fault.kind] as (fault: SpreadingFault, tools: FaultTools) => void;
	handle(fault, tools);
}
