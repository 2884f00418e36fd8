/**
A part of a prompt that several requests may share; parts are in prompt order.
*/
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};
