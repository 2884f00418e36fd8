const charactersPerToken = 4;

type Message = Readonly<Record<string, unknown>>;

/**
 Estimates the tokens of a prompt from the length of its texts; images are ignored.

 @example
 estimatePromptTokens([{role: 'user', content: 'Is box 7 cleared?'}]); // 5
 */
export function estimatePromptTokens(messages: readonly Message[]): number {
	let characters = 0;
	for (const {content} of messages) {
		characters += measureContent(content);
	}

	return Math.ceil(characters / charactersPerToken);
}

function measureContent(content: unknown): number {
	if (typeof content === 'string') {
		return content.length;
	}

	let characters = 0;
	for (const part of Array.isArray(content) ? content as readonly unknown[] : []) {
		const hasText = typeof part === 'object' && part !== null && 'text' in part && typeof part.text === 'string';
		characters += hasText ? (part.text as string).length : 0;
	}

	return characters;
}
