import type {Forwarder} from '@valvesaddle/forwarding';
import type {Selector} from '@valvesaddle/selection';

/**
The selector and forwarder of an emulated gateway node.
*/
export type EmulatedNode = {
	readonly id: string;
	readonly selector: Selector;
	readonly forwarder: Forwarder;
	/**
	Sets the handler that is called on each placement.
	*/
	readonly setOnPlacement: (handle: () => void) => void;
};
