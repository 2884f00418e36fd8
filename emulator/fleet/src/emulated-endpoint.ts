import type {EngineJob} from '@valvesaddle/emulator-engine';

/**
An engine with its connections.
*/
export type EmulatedEndpoint = {
	readonly id: string;
	/**
	Sends a request; `onLost` is told when its connection breaks.
	*/
	readonly send: (job: EngineJob, onLost: () => void) => void;
	readonly abort: (id: string) => void;
	/**
	Breaks all connections and loses what the engine holds.
	*/
	readonly crash: () => void;
	/**
	Stops without a word, or starts again empty.
	*/
	readonly setDark: (isDark: boolean) => void;
	readonly setSlowness: (factor: number) => void;
	readonly counts: () => {readonly read: number; readonly readAgain: number; readonly preempted: number};
};
