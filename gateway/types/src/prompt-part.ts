/**
A part of a prompt that requests share; parts come in the order of the prompt.
*/
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};
