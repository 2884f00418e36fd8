/**
The parts of a chat completion that the stand-in reads.
*/
export type ChatRequest = {
	readonly messages: ReadonlyArray<{readonly role: string; readonly content: unknown}>;
	readonly priority?: number;
	readonly max_tokens?: number;
	readonly continue_final_message?: boolean;
};
