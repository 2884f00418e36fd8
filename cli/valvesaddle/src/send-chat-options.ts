/**
Node, request and output of a chat completion.
*/
export type SendChatOptions = {
	readonly url: string;
	readonly key: string;
	readonly model: string;
	readonly text: string;
	readonly className?: string | undefined;
	readonly tokens?: number | undefined;
	readonly idempotencyKey?: string | undefined;
	/**
	Called with each part of the answer as it arrives.
	*/
	readonly write: (text: string) => void;
};
