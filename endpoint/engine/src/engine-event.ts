/**
An event of an engine's streamed answer.
*/
export type EngineEvent =
	| {readonly kind: 'delta'; readonly delta: Readonly<Record<string, unknown>>; readonly text: string}
	| {readonly kind: 'finish'; readonly reason: string};
