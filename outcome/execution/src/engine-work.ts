/**
Chat completion that an engine runs.
*/
export type EngineWork = {
	readonly kind: 'engine';
	readonly body: Readonly<Record<string, unknown>>;
};
