/**
What comes from an engine while it answers.
*/
export type EngineEvent =
	| {readonly kind: 'delta'; readonly delta: Readonly<Record<string, unknown>>; readonly text: string}
	| {readonly kind: 'finish'; readonly reason: string};
