import {randomLogNormal} from 'd3-random';
import type {CallerClass} from './caller-class.ts';
import type {Prompt} from './prompt.ts';

type PromptSource = {
	readonly draw: (kind: CallerClass) => Prompt;
	/**
	Draws a request that crashes engines, with an ID of its own for each repeat.
	*/
	readonly drawCrashing: (kind: CallerClass) => Prompt;
	readonly find: (id: string) => Prompt | undefined;
};

/**
Credit of an answer relative to its class: a fixed part, a part proportional to its size over the mean size, and the maximum.
*/
const fixedCredit = 0.3;
const sizeCredit = 0.7;
const maximumCredit = 4;
const tokensPerOutput = 10;
/**
Exponent of the uniform draw of a subject; above 1, the first subjects are drawn more often.
*/
const skew = 1.5;

/**
 Creates a source of random prompts.

 @example
 const source = createPromptSource(createRandom(7), 3);
 source.draw(kind).metadata.promptTokens;
 */
export function createPromptSource(random: () => number, tokensPerEvent: number): PromptSource {
	const prompts = new Map<string, Prompt>();
	const sizes = new Map<string, number>();
	let count = 0;

	function drawSize({mean, spread, maximum}: CallerClass['own']): number {
		const logMean = Math.log(mean) - ((spread ** 2) / 2);
		const drawTokens = randomLogNormal.source(random)(logMean, spread);
		const tokens = Math.round(drawTokens());
		return Math.max(1, Math.min(maximum, tokens));
	}

	function drawShared(kind: CallerClass): Prompt['metadata']['parts'] {
		return kind.shared.map((part, index) => {
			const id = `${kind.name}-${index}-${Math.floor((random() ** skew) * part.subjects)}`;
			const tokens = sizes.get(id) ?? drawSize(part);
			sizes.set(id, tokens);
			return {id, tokens};
		});
	}

	function draw(kind: CallerClass, isCrashing = false): Prompt {
		const requestId = `r-${count++}`;
		const shared = drawShared(kind);
		const own = drawSize(kind.own);
		const events = drawSize(kind.events);
		const promptTokens = shared.reduce((sum, {tokens}) => sum + tokens, own);
		const outputTokens = events * tokensPerEvent;
		const meanSize = kind.shared.reduce((sum, {mean}) => sum + mean, kind.own.mean) + (tokensPerOutput * kind.events.mean * tokensPerEvent);
		const credit = Math.min(maximumCredit, fixedCredit + (sizeCredit * (promptTokens + (tokensPerOutput * outputTokens)) / meanSize));
		const prompt = {
			metadata: {
				requestId, waitMs: undefined, apiKey: undefined, promptTokens, outputTokens, parts: [...shared, {id: requestId, tokens: own}], lastEventId: -1,
			},
			events,
			isCrashing,
			worth: kind.worth * credit,
			lateWorth: kind.lateWorth * credit,
		};
		prompts.set(requestId, prompt);
		return prompt;
	}

	return {
		draw: kind => draw(kind),
		drawCrashing: kind => draw(kind, true),
		// The id of an attempt is the request's id, a space and the number of the attempt.
		find: id => prompts.get(id.split(' ', 1)[0] ?? ''),
	};
}
