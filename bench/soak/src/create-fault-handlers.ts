import type {FakeFleetStore, StoreFault} from '@valvesaddle/fake-fleet-store';
import type {AppliedFault} from './applied-fault.ts';
import type {FaultHandler} from './fault-handler.ts';
import type {FaultKind} from './fault-kind.ts';
import type {LinkMode} from './link-mode.ts';
import type {SoakEndpoint} from './soak-endpoint.ts';
import type {SoakNode} from './soak-node.ts';

type FaultOptions = {
	readonly store: Pick<FakeFleetStore, 'setFault' | 'cut'>;
	readonly nodes: () => readonly SoakNode[];
	/**
	By place; another may take one's place at any time.
	*/
	readonly endpoints: readonly SoakEndpoint[];
	readonly publishConfiguration: () => void;
	/**
	Sends a request that crashes endpoints until the run is over.
	*/
	readonly startCrashing: () => void;
	/**
	Puts another endpoint in a place; the one before tells the store at once that it leaves, or in its answers first.
	*/
	readonly moveEndpoint: (place: number, isAnnounced?: boolean) => Promise<void>;
};

/**
Requests per second that an endpoint accepts while it limits them.
*/
const limitPerSecond = 2;

/**
 Creates what each kind of fault does.

 @example
 createFaultHandlers(options).kill.begin(fault);
 */
export function createFaultHandlers(options: FaultOptions): Readonly<Record<FaultKind, FaultHandler>> {
	const {store, nodes, endpoints, publishConfiguration, moveEndpoint} = options;

	function setLink({target}: AppliedFault, mode: LinkMode): void {
		nodes()[target]?.link.setMode(mode);
	}

	function createStoreFault(fault: StoreFault): FaultHandler {
		return {
			begin() {
				store.setFault(fault);
				if (fault === 'compact') {
					store.cut();
				}
			},
			end() {
				store.setFault(undefined);
			},
		};
	}

	function createEndpointFault(kind: FaultKind): FaultHandler {
		return {
			begin({target}) {
				endpoints[target]?.setFault(kind);
			},
			end({target}) {
				endpoints[target]?.setFault(undefined);
			},
		};
	}

	function createLinkFault(mode: LinkMode): FaultHandler {
		return {
			begin(fault) {
				setLink(fault, mode);
			},
			end(fault) {
				// What an open connection has missed cannot be made up for.
				setLink(fault, 'reset');
				setLink(fault, 'open');
			},
		};
	}

	function createSignal(name: Parameters<SoakNode['signal']>[0]): FaultHandler['begin'] {
		return ({target}) => {
			nodes()[target]?.signal(name);
		};
	}

	return {
		stop: {begin: createSignal('SIGTERM')},
		kill: {begin: createSignal('SIGKILL')},
		killAll: {
			begin() {
				for (const node of nodes()) {
					node.signal('SIGKILL');
				}
			},
		},
		pause: {begin: createSignal('SIGSTOP'), end: createSignal('SIGCONT')},
		storeRefuse: createStoreFault('refuse'),
		storeSilent: createStoreFault('silent'),
		storeCompact: createStoreFault('compact'),
		storeLose: createStoreFault('lose'),
		cutSilent: createLinkFault('silent'),
		cutReset: createLinkFault('reset'),
		cutSlow: createLinkFault('slow'),
		break: createEndpointFault('break'),
		spoil: createEndpointFault('spoil'),
		refuse: createEndpointFault('refuse'),
		overload: createEndpointFault('overload'),
		announce: {
			begin({target}) {
				void moveEndpoint(target, true);
			},
		},
		leave: {
			begin({target}) {
				void moveEndpoint(target);
			},
		},
		configure: {begin: publishConfiguration},
		crash: {begin: options.startCrashing},
		stall: createEndpointFault('stall'),
		late: createEndpointFault('late'),
		limit: {
			begin({target}) {
				endpoints[target]?.setLimit(limitPerSecond);
			},
			end() {
				for (const endpoint of endpoints) {
					endpoint.setLimit(undefined);
				}
			},
		},
		reload: {begin: createSignal('SIGHUP')},
		thin: {
			begin({target}) {
				nodes()[target]?.thinLink.setThin(true);
			},
			end({target}) {
				nodes()[target]?.thinLink.setThin(false);
			},
		},
	};
}
