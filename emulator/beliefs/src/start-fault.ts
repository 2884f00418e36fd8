import type {FaultContext} from './fault-context.ts';
import type {PropagationFault} from './propagation-fault.ts';

type FaultHandlers = {
	readonly [Kind in PropagationFault['kind']]: (fault: Extract<PropagationFault, {readonly kind: Kind}>, context: FaultContext) => void;
};

const faultHandlers: FaultHandlers = {
	'store-quiet'(fault, {store, runtime}) {
		store.setQuiet(true);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setQuiet(false);
		});
	},
	'store-down'(fault, {store, runtime, listNodes}) {
		store.setResponseMode(fault.how, new Set(listNodes()));
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setResponseMode('served', new Set(listNodes()));
		});
	},
	'store-slow'(fault, {store, runtime}) {
		store.setAddedLatency(fault.addedMs);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setAddedLatency(0);
		});
	},
	'store-refuses'(fault, {store, runtime, random, listNodes, listFollowers}) {
		const {share} = fault;
		const refused = new Set(share === 'followers' ? listFollowers() : listNodes().filter(() => random() < share));
		store.setResponseMode(fault.how, refused);
		runtime.add(fault.atMs + fault.forMs, () => {
			store.setResponseMode('served', refused);
		});
	},
	'node-lost'(fault, {findTarget, endNode}) {
		endNode(findTarget(fault.target), fault.how);
	},
	'node-restarted'(fault, {runtime, findTarget, endNode, startReplacement}) {
		const node = findTarget(fault.target);
		endNode(node, 'reset');
		runtime.add(fault.atMs + fault.forMs, () => {
			startReplacement(node);
		});
	},
	'links-lost'(fault, {hub, findTarget}) {
		hub.endLinks(findTarget(fault.target), fault.how);
	},
	'links-cut'(fault, {hub, runtime}) {
		hub.setPartition(fault.between, true);
		runtime.add(fault.atMs + fault.forMs, () => {
			hub.setPartition(fault.between, false);
		});
	},
	'state-unanswered'(fault, {findTarget, setStateUnanswered}) {
		setStateUnanswered(findTarget(fault.target));
	},
};

/**
 Starts a fault, and schedules its end.

 @example
 startFault({kind: 'store-slow', atMs: 0, forMs: 900, addedMs: 300}, context);
 */
export function startFault(fault: PropagationFault, context: FaultContext): void {
	const handle = faultHandlers[fault.kind] as (fault: PropagationFault, context: FaultContext) => void;
	handle(fault, context);
}
