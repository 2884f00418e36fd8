import type {FakeEngine} from '@valvesaddle/fake-engine';
import type {FakeKv} from '@valvesaddle/fake-kv';
import type {FakeService} from '@valvesaddle/fake-service';
import type {FakeVmList} from '@valvesaddle/fake-vm-list';
import type {Configuration} from '@valvesaddle/types';
import type {FleetNode} from './fleet-node.ts';

/**
A running fleet with its stand-ins.
*/
export type Fleet = {
	readonly nodes: readonly FleetNode[];
	readonly kv: FakeKv;
	readonly vmList: FakeVmList;
	readonly engines: readonly FakeEngine[];
	readonly service: FakeService;
	/**
	Applies a configuration through a node and waits until all nodes have it in force.
	*/
	readonly apply: (change: (configuration: Configuration) => Configuration) => Promise<number>;
	/**
	Starts another node.
	*/
	readonly addNode: () => Promise<FleetNode>;
	readonly close: () => Promise<void>;
};
