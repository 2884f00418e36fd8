import type {GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import {createRandom} from '@valvesaddle/random';
import {createChangeRecord} from './create-change-record.ts';
import {createEmulatedConfiguration} from './create-emulated-configuration.ts';
import {createEmulatedLoadUpdates} from './create-emulated-load-updates.ts';
import {createEmulatedStore} from './create-emulated-store.ts';
import {createLinkHub} from './create-link-hub.ts';
import {createPausedRuntime} from './create-paused-runtime.ts';
import {createPropagationNode} from './create-propagation-node.ts';
import type {EmulatedStore} from './emulated-store.ts';
import type {FaultContext} from './fault-context.ts';
import {listByRole} from './list-by-role.ts';
import type {PropagationChange} from './propagation-change.ts';
import type {PropagationLogLine} from './propagation-log-line.ts';
import type {PropagationNode} from './propagation-node.ts';
import type {PropagationOptions} from './propagation-options.ts';
import type {PropagationReport} from './propagation-report.ts';
import type {PropagationTarget} from './propagation-target.ts';
import {startFault} from './start-fault.ts';
import type {WrittenChange} from './written-change.ts';

/**
Added to the seed for the random numbers of the nodes, so that they are independent of those of links and store.
*/
const nodeSeed = 1_000_003;
/**
Time over which the starts of the nodes are spread, in milliseconds.
*/
const startSpreadMs = 500;
/**
Size of the random suffix of a node's id, the same as in the gateway.
*/
const idValues = 2 ** 32;
const idDigits = 8;
const hexadecimal = 16;
const indexPattern = /^n-(?<index>\d+)\./v;
/**
Version of the configuration that is written before the nodes start.
*/
const firstVersion = 1;
/**
Time that the nodes get to close after the run, in milliseconds.
*/
const closeMs = 1000;
/**
Maximum addresses in an emulated subnet.
*/
const subnetSize = 250;

/**
 Writes changes to an emulated store, under faults, and reports when each node of a fleet applied them. The clock of the
 process is paused and `Math.random` is seeded meanwhile, so only one run at a time is possible.

 @example
 const {changes} = await runPropagation({nodes: 40, dataCentres: ['a', 'b'], endpoints: 60, lengthMs: 12_000, seed: 7, links, settings, changes: [{kind: 'configuration', atMs: 8000}], faults: []});
 changes[0].missing; // []
 */
export async function runPropagation(options: PropagationOptions): Promise<PropagationReport> {
	const runtime = createPausedRuntime(options.seed + nodeSeed);
	try {
		return await runFleet(options, runtime);
	} finally {
		runtime.close();
	}
}

async function runFleet(options: PropagationOptions, runtime: FaultContext['runtime']): Promise<PropagationReport> {
	const random = createRandom(options.seed);
	const {settings} = options;
	const lines: PropagationLogLine[] = [];
	const stateUnanswered = new Set<string>();
	const ended = new Set<string>();
	const store = createEmulatedStore({timeoutMs: settings.store.timeout_ms, random});
	const hub = createLinkHub({traits: options.links, random});
	const nodes: PropagationNode[] = [];
	const record = createChangeRecord({now: runtime.now});
	const startNode = (index: number): void => {
		const self = createSelf(index, options.dataCentres, random);
		const node = createPropagationNode({
			self,
			store: store.open(self),
			hub,
			settings,
			logger: createLineLogger(event => {
				if (options.isLogged) {
					lines.push({atMs: runtime.now(), node: self.id, event});
				}
			}),
			...(options.loadUpdates !== undefined && {takeLoadUpdate: createEmulatedLoadUpdates({size: options.loadUpdates, endpoints: options.endpoints, random})}),
			isStateUnanswered: () => stateUnanswered.has(self.id),
		});
		nodes.push(node);
		record.addNode(node);
		node.start();
	};

	const listLive = (): readonly PropagationNode[] => nodes.filter(({self}) => !ended.has(self.id));
	const endpoints = Array.from({length: options.endpoints}, (_value, index) => createEndpoint(index, options.dataCentres));
	const listLiveByRole = (role: PropagationTarget['role']): readonly string[] => listByRole(listLive().map(({self}) => self), {role, meshNodes: settings.peers.mesh_nodes});
	const context: FaultContext = {
		runtime,
		random,
		store,
		hub,
		listNodes: () => nodes.map(({self}) => self.id),
		listFollowers: () => listLiveByRole('follower'),
		findTarget: ({role, nth}) => listLiveByRole(role)[nth]!,
		endNode(id, how) {
			ended.add(id);
			hub.endNode(id, how);
			store.endNode(id);
			nodes.find(({self}) => self.id === id)!.close();
		},
		startReplacement(id) {
			startNode(Number(indexPattern.exec(id)!.groups!.index));
		},
		setStateUnanswered(id) {
			stateUnanswered.add(id);
		},
	};

	store.writeConfiguration(createEmulatedConfiguration(firstVersion));
	for (const endpoint of endpoints) {
		store.writeEndpoint(endpoint);
	}

	for (let index = 0; index < options.nodes; index++) {
		runtime.add(startSpreadMs * random(), () => {
			startNode(index);
		});
	}

	for (const fault of options.faults) {
		runtime.add(fault.atMs, () => {
			startFault(fault, context);
		});
	}

	let version = firstVersion;
	for (const change of options.changes) {
		version += change.kind === 'configuration' ? 1 : 0;
		const write: WriteOptions = {
			store, endpoints, version, now: change.atMs,
		};
		runtime.add(change.atMs, () => {
			record.addChange(writeChange(change, write));
		});
	}

	await runtime.advance(options.lengthMs);
	const report = summarizeNodes(nodes);
	const changes = record.summarize(listLive());
	const storeFigures = {storeCalls: {...store.calls()}, watchesMissed: store.countMissedWatches()};
	const logged = [...lines];
	for (const node of listLive()) {
		node.close();
	}

	await runtime.advance(options.lengthMs + closeMs);
	return {
		...report, ...storeFigures, changes, lines: logged,
	};
}

function createSelf(index: number, dataCentres: readonly string[], random: () => number): GatewayNode {
	const suffix = Math.floor(random() * idValues).toString(hexadecimal).padStart(idDigits, '0');
	return {
		id: `n-${index}.${suffix}`,
		address: `10.0.${Math.floor(index / subnetSize)}.${index % subnetSize}:7100`,
		token: suffix,
		dataCentre: dataCentres[index % dataCentres.length]!,
		capacity: 1,
	};
}

function createEndpoint(index: number, dataCentres: readonly string[]): ServingEndpoint {
	return {
		id: `e-${index}`,
		pool: 'desk',
		address: `10.1.${Math.floor(index / subnetSize)}.${index % subnetSize}:8000`,
		dataCentre: dataCentres[index % dataCentres.length]!,
		slots: 12,
		state: 'ready',
	};
}

function createLineLogger(write: (event: PropagationLogLine['event']) => void): Logger {
	return {
		info: write,
		warn: write,
		error: write,
		async flush() {
			// Nothing is buffered.
		},
	};
}

type WriteOptions = {
	readonly store: EmulatedStore;
	readonly endpoints: readonly ServingEndpoint[];
	/**
	Version of the configuration, if the change writes one.
	*/
	readonly version: number;
	readonly now: number;
};

function writeChange(change: PropagationChange, {store, endpoints, version, now}: WriteOptions): WrittenChange {
	if (change.kind === 'configuration') {
		store.writeConfiguration(createEmulatedConfiguration(version));
		return {
			kind: change.kind, subject: String(version), writtenAtMs: now, isApplied: view => (view.configuration()?.version ?? 0) >= version,
		};
	}

	const endpoint = endpoints[change.endpoint]!;
	const {id} = endpoint;
	if (change.kind === 'endpoint-draining') {
		store.writeEndpoint({...endpoint, state: 'draining'});
	} else {
		store.removeEndpoint(id);
	}

	return {
		kind: change.kind,
		subject: id,
		writtenAtMs: now,
		// A removed endpoint gets no requests either, so it counts as draining.
		isApplied: view => view.endpoints().every(known => known.id !== id || (change.kind === 'endpoint-draining' && known.state === 'draining')),
	};
}

function summarizeNodes(nodes: readonly PropagationNode[]): Pick<PropagationReport, 'statesFromPeers' | 'bytesSent' | 'messagesSent' | 'watchesInterrupted'> {
	const sum = (name: string): number => nodes.reduce((total, {metrics}) => total + metrics.total(name), 0);
	return {
		statesFromPeers: sum('gateway.states-from-peers'),
		bytesSent: sum('peer.bytes-sent'),
		messagesSent: sum('peer.messages-sent'),
		watchesInterrupted: sum('gateway.watches-cut'),
	};
}
