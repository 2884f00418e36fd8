import {randomLogNormal} from 'd3-random';
import type {CallerClass} from './caller-class.ts';
import type {Prompt} from './prompt.ts';

type PromptSource = {
	readonly draw: (kind: CallerClass) => Prompt;
	readonly find: (id: string) => Prompt | undefined;
};

/**
How the credit of a generation grows with its size, against the mean of its class.
*/
const fixedCredit = 0.3;
const grownCredit = 0.7;
const mostCredit = 4;
const tokensPerOutput = 10;
/**
Subjects earlier in the list are drawn more often: the draw is raised to this power.
*/
const skew = 1.5;

/**
 Creates the source of a seeded run's prompts.

 @example
 const source = createPromptSource(createRandom(7), 3);
 source.draw(kind).metadata.promptTokens;
 */
export function createPromptSource(random: () => number, tokensPerEvent: number): PromptSource {
	const prompts = new Map<string, Prompt>();
	const sizes = new Map<string, number>();
	let count = 0;

	function drawSize({mean, spread, maximum: most}: CallerClass['own']): number {
		const logMean = Math.log(mean) - ((spread ** 2) / 2);
		const drawTokens = randomLogNormal.source(random)(logMean, spread);
		const tokens = Math.round(drawTokens());
		return Math.max(1, Math.min(most, tokens));
	}

	function drawShared(kind: CallerClass): Prompt['metadata']['parts'] {
		return kind.shared.map((part, index) => {
			const id = `${kind.name}-${index}-${Math.floor((random() ** skew) * part.subjects)}`;
			const tokens = sizes.get(id) ?? drawSize(part);
			sizes.set(id, tokens);
			return {id, tokens};
		});
	}

	return {
		draw(kind) {
			const requestId = `r-${count++}`;
			const shared = drawShared(kind);
			const own = drawSize(kind.own);
			const events = drawSize(kind.events);
			const promptTokens = shared.reduce((sum, {tokens}) => sum + tokens, own);
			const outputTokens = events * tokensPerEvent;
			const meanSize = kind.shared.reduce((sum, {mean}) => sum + mean, kind.own.mean) + (tokensPerOutput * kind.events.mean * tokensPerEvent);
			const credit = Math.min(mostCredit, fixedCredit + (grownCredit * (promptTokens + (tokensPerOutput * outputTokens)) / meanSize));
			const prompt = {
				metadata: {
					requestId, waitMs: undefined, apiKey: undefined, promptTokens, outputTokens, parts: [...shared, {id: requestId, tokens: own}], lastEventId: -1,
				},
				events,
				worth: kind.worth * credit,
				lateWorth: kind.lateWorth * credit,
			};
			prompts.set(requestId, prompt);
			return prompt;
		},
		// An attempt's id is the request's, a blank and its number.
		find: id => prompts.get(id.split(' ', 1)[0] ?? ''),
	};
}
