/**
What to send, where to, and where the answer goes.
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
	Takes the answer as it comes.
	*/
	readonly write: (text: string) => void;
};
