/**
A chat completion.
*/
export type EngineWork = {
	readonly kind: 'engine';
	readonly body: Readonly<Record<string, unknown>>;
};
