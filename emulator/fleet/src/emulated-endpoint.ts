import type {EngineJob} from '@valvesaddle/emulator-engine';
import type {EmulatedSender} from './emulated-sender.ts';
import type {Overload} from './overload.ts';

/**
An engine with its connections.
*/
export type EmulatedEndpoint = {
	readonly id: string;
	readonly send: (job: Omit<EngineJob, 'onRefused'>, sender: EmulatedSender) => void;
	readonly abort: (id: string) => void;
	/**
	Breaks all connections and loses what the engine holds.
	*/
	readonly crash: () => void;
	/**
	Stops without a word, or starts again empty.
	*/
	readonly setUnresponsive: (isDark: boolean) => void;
	readonly setSlowness: (factor: number) => void;
	/**
	Sets how requests are refused; `undefined` takes them again.
	*/
	readonly setOverload: (overload: Overload | undefined) => void;
	/**
	From here on each answer says that the engine leaves.
	*/
	readonly startDraining: () => void;
	readonly isLeaving: () => boolean;
	/**
	Times at which a node did not heed what the engine had said of itself.
	*/
	readonly countBrokenNotices: () => number;
	readonly counts: () => {readonly prefilledTokens: number; readonly recomputedTokens: number; readonly preempted: number};
};
