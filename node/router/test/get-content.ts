import type {CallResult} from '@valvesaddle/fake-fleet';

type Completion = {
	readonly choices: ReadonlyArray<{readonly message: {readonly content: string}}>;
};

type Chunk = {
	readonly choices: ReadonlyArray<{readonly delta: {readonly content?: string}}>;
};

/**
 The text of an answer, streamed or not; empty when there is none.

 @example
 getContent(await callNode(address, '/v1/chat/completions', {body})); // 't0 t1 '
 */
export function getContent({json, text}: CallResult): string {
	if (json !== undefined) {
		return (json as Partial<Completion>).choices?.[0]?.message.content ?? '';
	}

	return text.split('\n')
		.filter(line => line.startsWith('data: {') && line.includes('"choices"'))
		.map(line => (JSON.parse(line.slice('data: '.length)) as Chunk).choices[0]?.delta.content ?? '')
		.join('');
}
