import type {TraceCarrier} from '@valvesaddle/tracing';

/**
A chat completion to send to one engine.
*/
export type EngineRequest = {
	readonly url: string;
	/**
	Body as the caller sent it.
	*/
	readonly body: Readonly<Record<string, unknown>>;
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	/**
	Text already delivered to the caller; the engine continues from there.
	*/
	readonly textSoFar: string;
	readonly tokensSoFar: number;
	readonly trace: TraceCarrier;
};
