/**
Body of a chat completion for the stand-in engines.
*/
type Chat = {
	readonly model: string;
	readonly messages: ReadonlyArray<{readonly role: string; readonly content: string}>;
	readonly max_tokens: number;
	readonly stream: boolean;
};

/**
 A chat completion that the stand-in engines answer with so many tokens.

 @example
 await callNode(node.callers, '/v1/chat/completions', {body: createChat(10)});
 */
export function createChat(tokens: number, isStreamed = false): Chat {
	return {
		model: 'drafting', messages: [{role: 'user', content: `Draft number ${tokens}`}], max_tokens: tokens, stream: isStreamed,
	};
}
