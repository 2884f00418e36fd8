import type {Forwarder, ForwardTask} from '@valvesaddle/forwarding';
import type {Selector} from '@valvesaddle/selection';
import type {NodeThread} from './node-thread.ts';

/**
The selector and forwarder of an emulated gateway node.
*/
export type EmulatedNode = {
	readonly id: string;
	readonly selector: Selector;
	readonly thread: NodeThread;
	readonly forward: (...request: Parameters<Forwarder['forward']>) => Pick<ForwardTask, 'cancel'>;
	/**
	Sets the handler that is called on each placement.
	*/
	readonly setOnPlacement: (handle: () => void) => void;
};
