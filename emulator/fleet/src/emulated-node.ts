import type {Forwarder, ForwardTask} from '@valvesaddle/forwarding';
import type {CrashDetector, Quarantine} from '@valvesaddle/quarantine';
import type {Selector} from '@valvesaddle/selection';
import type {NodeThread} from './node-thread.ts';

/**
The selector and forwarder of an emulated gateway node.
*/
export type EmulatedNode = {
	readonly id: string;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	readonly selector: Selector;
	readonly thread: NodeThread;
	readonly forward: (...request: Parameters<Forwarder['forward']>) => Pick<ForwardTask, 'cancel'>;
	/**
	Sets the handler that is called on each placement.
	*/
	readonly setOnPlacement: (handle: () => void) => void;
};
