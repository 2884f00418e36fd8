/**
Load as an engine reports it.
*/
export type EngineLoad = {
	readonly requests: number;
	readonly leaving: boolean;
};
