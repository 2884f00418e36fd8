import type {Forwarder} from '@valvesaddle/forwarding';
import type {Selector} from '@valvesaddle/selection';

/**
The deciding part of a gateway node.
*/
export type EmulatedNode = {
	readonly id: string;
	readonly selector: Selector;
	readonly forwarder: Forwarder;
	/**
	Sets what is told of each request that is placed.
	*/
	readonly setOnPlacement: (handle: () => void) => void;
};
